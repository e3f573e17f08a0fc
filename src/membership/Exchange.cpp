// What travels on the probes, and the exchange of digests that finds what was missed.
#include "membership/MembershipState.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Datagrams of members sent in answer to one digest.
    constexpr size_t datagramsPerExchange = 4;
    // Members in a row that must know no more than this node does, before it takes itself for informed.
    constexpr uint32_t joinRounds = 4;
    // Age of a confirmation up to which the store counts as reachable.
    constexpr Duration reachableAge = seconds(5);
    // Age from which a confirmation says nothing any more.
    constexpr Duration unconfirmedAge = std::chrono::hours(24);
    // Share of the known members held for dead from which hearing one of them again means that a cut has healed.
    constexpr double healedShare = 0.05;
    constexpr size_t healedMinimum = 4;

    size_t sizeOf(const std::optional<MemberUpdate>& update) { return update ? estimatedSize(*update) : 0; }

    // Fills datagrams with buckets. One that does not fit into a datagram is sent in pieces, and not named as whole.
    class BucketWriter {
    public:
        explicit BucketWriter(size_t limit)
            : m_limit(limit)
        {
        }

        size_t datagrams() const { return m_messages.size(); }

        void add(uint32_t bucket, std::vector<MemberUpdate> updates)
        {
            auto size = sizeof(bucket);
            for (const auto& update : updates)
                size += estimatedSize(update);
            if (m_size + size > m_limit)
                flush();
            if (m_size + size <= m_limit) {
                m_message.buckets.push_back(bucket);
                m_size += sizeof(bucket);
            }
            for (auto& update : updates)
                add(std::move(update));
        }

        std::vector<MemberBuckets> finish()
        {
            flush();
            return std::move(m_messages);
        }

    private:
        void add(MemberUpdate update)
        {
            const auto size = estimatedSize(update);
            if (m_size + size > m_limit)
                flush();
            m_message.updates.push_back(std::move(update));
            m_size += size;
        }

        void flush()
        {
            if (!m_message.buckets.empty() || !m_message.updates.empty())
                m_messages.push_back(std::exchange(m_message, { {}, {}, true }));
            m_size = emptySize();
        }

        static size_t emptySize() { return estimatedSize(ControlMessage(MemberBuckets())); }

        const size_t m_limit;
        size_t m_size { emptySize() };
        MemberBuckets m_message { {}, {}, true };
        std::vector<MemberBuckets> m_messages;
    };

} // namespace

void Membership::State::send(const Endpoint& to, ControlMessage message, Effects& effects)
{
    allowance = std::max(allowance - static_cast<double>(estimatedSize(message)), -settings.bytesPerSecond);
    effects.messages.push_back({ to, std::move(message) });
}

// Tells the number in force, not the highest heard of: whoever hears it comes to fetch it.
ConfigurationNews Membership::State::news() const
{
    const auto inForce = board.configuration().inForce();
    const auto record = board.configuration().freshness();
    const auto number = inForce ? inForce->number() : 0;
    const auto age = clock.now() - record.confirmedAt;
    const bool isBehind = number < record.newestNumber;
    return { number, record.contentHash, isBehind ? Duration::max() : age, age <= reachableAge, record.storeEra };
}

// A number is believed from whomever. A confirmation is believed only in answer to a probe, and dated back to when the
// probe was sent: a message may have lain in a buffer while this node was stopped.
void Membership::State::hear(const Endpoint& from, const ConfigurationNews& news, std::optional<Instant> askedAt)
{
    const auto now = clock.now();
    board.configuration().updateFreshness([&](FreshnessRecord& record) {
        // Whoever told it last is the least likely to be gone.
        if (news.number > 0 && news.number >= record.newestNumber) {
            record.newestNumber = news.number;
            record.newestFrom = from;
        }
        const bool confirms = askedAt && news.number >= record.newestNumber && news.confirmedAgo < unconfirmedAge;
        if (confirms && *askedAt - news.confirmedAgo > record.confirmedAt) {
            record.confirmedAt = *askedAt - news.confirmedAgo;
            record.confirmedByOthersAt = now;
        }
        record.storeReachable = now - record.confirmedAt <= reachableAge;
        record.storeEra = std::max(record.storeEra, news.storeEra);
    });
}

// Tells what is new to somebody at random, beside the regular probes.
void Membership::State::spreadNews(Effects& effects)
{
    const auto present = news();
    if (present.number > newsTold) {
        newsTold = present.number;
        newsToTell = tellLimit();
    }
    if ((queue.empty() && newsToTell == 0) || allowance <= 0)
        return;
    const auto member = table.live().draw(random);
    const auto endpoint = member ? table.endpoint(*member) : std::nullopt;
    if (!endpoint)
        return;
    if (newsToTell > 0)
        --newsToTell;
    Probe probe { 0, {}, present, {} };
    probe.updates = updatesFor(member, estimatedSize(ControlMessage(probe)));
    send(*endpoint, std::move(probe), effects);
}

// The updates that a message of the given size has room for. Whoever is held for gone, or not known at all, is told so
// first, since it has to speak up.
std::vector<MemberUpdate> Membership::State::updatesFor(std::optional<NodeId> receiver, size_t baseSize)
{
    std::vector<MemberUpdate> updates;
    auto room = settings.datagramLimit - std::min(baseSize, settings.datagramLimit);
    const auto state = receiver ? table.state(*receiver) : std::nullopt;
    const auto add = [&](std::optional<MemberUpdate> update) {
        if (!update || sizeOf(update) > room)
            return;
        room -= sizeOf(update);
        updates.push_back(std::move(*update));
    };
    if (state && *state != MemberState::Alive)
        add(table.update(*receiver, false));
    if (receiver && !state) {
        add(self);
        introduceOthers(updates, room);
        return updates;
    }
    for (auto& update : queue.take(table, room, tellLimit())) {
        room -= estimatedSize(update);
        updates.push_back(std::move(update));
    }
    // When many start at once, all of them pass on what they have found.
    if (joining(clock.now()))
        introduceOthers(updates, room);
    return updates;
}

// Somebody who is new here needs members to go on with.
void Membership::State::introduceOthers(std::vector<MemberUpdate>& updates, size_t room)
{
    const auto tries = std::min(table.live().size(), settings.datagramLimit / sizeof(MemberUpdate) + 1);
    for (size_t i = 0; i < tries; ++i) {
        const auto member = table.live().draw(random);
        auto update = member ? table.update(*member, true) : std::nullopt;
        if (!update || sizeOf(update) > room)
            return;
        room -= sizeOf(update);
        updates.push_back(std::move(*update));
    }
}

void Membership::State::mergeAll(
    const Endpoint& from, std::span<const MemberUpdate> updates, Instant now, Effects& effects)
{
    for (const auto& update : updates)
        mergeOne(from, update, now, effects);
}

void Membership::State::mergeOne(const Endpoint& from, const MemberUpdate& update, Instant now, Effects& effects)
{
    if (update.endpoint == self.endpoint) {
        refute(update, now);
        return;
    }
    const auto id = NodeId::of(update.endpoint);
    const auto before = table.state(id);
    const auto merged = table.merge(update, update.endpoint == from, now);
    if (merged == Merged::Nothing)
        return;
    // Telling the member what is held of it makes its present life rise above the others.
    if (merged == Merged::Conflict) {
        if (auto held = table.update(id, false))
            send(update.endpoint, Probe { 0, {}, news(), { std::move(*held) } }, effects);
        return;
    }
    joinRound = 0;
    // What a member learns while it joins is old news to most, and whoever else lacks it compares digests too.
    if (merged != Merged::Content || !joining(now))
        queue.push(id, merged == Merged::Content);
    effects.changed.push_back(id);
    // Start, or end, the time in which a suspect may speak up.
    if (table.state(id) == MemberState::Suspect)
        suspicions.emplace(id, Suspicion { now });
    else
        suspicions.erase(id);
    // Many dead that speak again were behind a cut: there is much to compare.
    const auto dead = table.dead().size();
    const auto live = table.live().size();
    if (before == MemberState::Dead && update.state == MemberState::Alive && !joining(now) && dead >= healedMinimum
        && static_cast<double>(dead) > healedShare * static_cast<double>(dead + live))
        startJoining(now);
}

// Whatever others hold of this node that it is not, it rises above: a suspicion, a death, or an earlier life at the
// same address whose incarnation was higher.
void Membership::State::refute(const MemberUpdate& update, Instant now)
{
    const auto isOtherLife = update.boot != self.boot;
    if (update.incarnation.value < self.incarnation.value || self.state != MemberState::Alive)
        return;
    if (!isOtherLife && update.state == MemberState::Alive)
        return;
    self.incarnation.value = update.incarnation.value + 1;
    publishSelf(now, isOtherLife);
}

// --- Digests ------------------------------------------------------------------------------------------------------

void Membership::State::exchangeDigest(Instant now, Effects& effects)
{
    nextDigest = now + random.jittered(joining(now) ? settings.joinPeriod : settings.digestPeriod, 0.1);
    const auto member = table.live().draw(random);
    const auto endpoint = member ? table.endpoint(*member) : std::nullopt;
    if (endpoint)
        send(*endpoint, MemberDigest { table.digest(), true, news() }, effects);
}

void Membership::State::handle(const Endpoint& from, const MemberDigest& digest, Instant now, Effects& effects)
{
    notePause(now);
    if (distrusts(now))
        return;
    hear(from, digest.news, std::nullopt);
    if (digest.buckets.size() != bucketCount / 2 || !digest.wantsReply)
        return;
    const auto differing = table.differingBuckets(digest.buckets);
    if (differing.empty()) {
        send(from, MemberBuckets(), effects);
        return;
    }
    if (allowance > 0)
        sendBuckets(from, differing, effects);
}

// Sends differing buckets, from a random one on, as many as fit into a few datagrams.
void Membership::State::sendBuckets(const Endpoint& to, std::span<const uint32_t> differing, Effects& effects)
{
    BucketWriter writer(settings.datagramLimit);
    const auto first = random.below(differing.size());
    for (size_t i = 0; i < differing.size() && writer.datagrams() < datagramsPerExchange; ++i) {
        const auto bucket = differing[(first + i) % differing.size()];
        std::vector<MemberUpdate> updates;
        for (const auto member : table.bucket(bucket)) {
            const auto state = table.state(member);
            if (auto update = table.update(member, state && isLive(*state)))
                updates.push_back(std::move(*update));
        }
        writer.add(bucket, std::move(updates));
    }
    for (auto& message : writer.finish())
        send(to, std::move(message), effects);
}

void Membership::State::handle(const Endpoint& from, const MemberBuckets& message, Instant now, Effects& effects)
{
    notePause(now);
    if (distrusts(now))
        return;
    // Nothing differed: this node knows what the other does.
    if (message.buckets.empty() && message.updates.empty()) {
        if (table.live().size() > 0 && ++joinRound >= joinRounds)
            joinUntil = now;
        return;
    }
    mergeAll(from, message.updates, now, effects);
    if (message.wantsReply && allowance > 0)
        answerBuckets(from, message, effects);
}

// Sends back what the other lacks, or holds an older version of, in the buckets that it sent whole.
void Membership::State::answerBuckets(const Endpoint& to, const MemberBuckets& message, Effects& effects)
{
    std::unordered_map<NodeId, const MemberUpdate*> theirs;
    for (const auto& update : message.updates)
        theirs.emplace(NodeId::of(update.endpoint), &update);
    MemberBuckets answer;
    auto size = estimatedSize(ControlMessage(answer));
    for (const auto bucket : message.buckets) {
        for (const auto member : table.bucket(bucket)) {
            const auto found = theirs.find(member);
            const auto ours = table.update(member, true);
            const auto known = found == theirs.end() ? nullptr : found->second;
            const auto live = ours && isLive(ours->state);
            const auto isNews = ours
                && (known ? std::pair(ours->incarnation.value, ours->version)
                                > std::pair(known->incarnation.value, known->version)
                            || (!live && isLive(known->state))
                          : live);
            if (!isNews)
                continue;
            auto update = live ? ours : table.update(member, false);
            if (size + sizeOf(update) > settings.datagramLimit)
                break;
            size += sizeOf(update);
            answer.updates.push_back(std::move(*update));
        }
    }
    if (!answer.updates.empty())
        send(to, std::move(answer), effects);
}

} // namespace Vanillaridge

#include "membership/MembershipState.h"

#include <algorithm>
#include <bit>

namespace Vanillaridge {

namespace {

    // Share of answered probes assumed after a start or a pause: a few answers have to come before others are judged.
    constexpr double initialShare = 0.4;
    // Seconds of sending that may be saved up.
    constexpr double allowanceSeconds = 2;
    // Time between two looks for tombstones that are old enough to drop.
    constexpr Duration sweepPeriod = std::chrono::minutes(1);
    // Times that an update is told beyond one for each doubling of the fleet.
    constexpr uint32_t extraTellings = 3;
    // Former members kept as contacts when the fleet is forgotten.
    constexpr size_t contactsKept = 32;
    // A node that has no zone in its settings still has to tell one.
    constexpr std::string_view unnamedZone = "default";

} // namespace

Membership::State::State(Board& board, const Clock& clock, RandomSource& random, MembershipSettings settings)
    : board(board)
    , clock(clock)
    , random(random)
    , settings(settings)
    , selfId(board.self().id())
    , table(board, random)
    , answeredShare(initialShare)
{
    const auto& identity = board.self();
    self = { identity.endpoint, identity.zone.empty() ? ZoneName(unnamedZone) : identity.zone, identity.incarnation, 1,
        identity.boot, MemberState::Alive, {}, {} };
    const auto now = clock.now();
    lastTick = now;
    lastRefill = now;
    nextSweep = now + sweepPeriod;
    nextReconnect = now + settings.reconnectPeriod;
    contactPeriod = settings.joinPeriod;
    board.configuration().updateFreshness([&](FreshnessRecord& record) { record.resumedAt = now; });
    publishSelf(now, true);
    startJoining(now);
}

// One round of everything that is due.
void Membership::State::tick(Instant now, Effects& effects)
{
    // 1. Look after this node itself.
    notePause(now);
    refill(now);
    if (self.state == MemberState::Alive) {
        takeLocalFacts(now, effects);
        // 2. Look after the others.
        escalateProbes(now, effects);
        expireSuspicions(now, effects);
        if (now >= nextProbe)
            probeNext(now, effects);
        if (now >= nextReconnect)
            reconnect(now, effects);
        if (settings.digestPeriod > Duration::zero() && now >= nextDigest)
            exchangeDigest(now, effects);
    }
    // 3. Spread what is new.
    spreadNews(effects);
    if (now >= nextSweep) {
        nextSweep = now + sweepPeriod;
        table.dropTombstones(now, settings.tombstoneTerm);
        std::erase_if(relayed, [&](const auto& entry) { return now - entry.second.sentAt > sweepPeriod; });
    }
    publishHealth();
}

// After a pause nothing that was waited for means anything, and the view is old. After a long one it may hold members
// that everybody else has forgotten; it must not bring them back, and neither may messages from before: none is heeded
// until a new probe is answered, since answers queue up behind them.
void Membership::State::notePause(Instant now)
{
    const auto gap = now - lastTick;
    lastTick = now;
    if (gap <= settings.pauseLimit)
        return;
    pending.clear();
    relayed.clear();
    for (auto& [member, suspicion] : suspicions)
        suspicion.begun += gap;
    answeredShare = initialShare;
    doubtSince = Instant();
    board.configuration().updateFreshness([&](FreshnessRecord& record) {
        record.resumedAt = now;
        record.viewRefreshed = false;
    });
    distrustUntil = now + 2 * settings.probeTimeout;
    if (gap > settings.tombstoneTerm / 2)
        forgetFleet();
    startJoining(now);
}

void Membership::State::forgetFleet()
{
    for (size_t i = 0; i < contactsKept; ++i) {
        const auto member = table.live().next();
        const auto endpoint = member ? table.endpoint(*member) : std::nullopt;
        if (endpoint && std::find(contacts.begin(), contacts.end(), *endpoint) == contacts.end())
            contacts.push_back(*endpoint);
    }
    table.clear();
    suspicions.clear();
}

void Membership::State::startJoining(Instant now)
{
    joinUntil = now + settings.joinLimit;
    joinRound = 0;
    nextDigest = now;
    nextReconnect = now;
}

// Announcements and drains reach the fleet as a new version of this node's own update.
void Membership::State::takeLocalFacts(Instant now, Effects& effects)
{
    std::vector<ServerAnnouncement> servers;
    const auto draining = board.draining();
    board.localServers().forEach([&](const ServiceName&, const LocalServerRecord& record) {
        servers.push_back(record.announcement);
        servers.back().draining |= draining;
    });
    std::sort(servers.begin(), servers.end(),
        [](const auto& left, const auto& right) { return left.service < right.service; });
    if (servers == self.servers && quotaSlots == self.quotaSlots)
        return;
    if (servers != self.servers)
        effects.changed.push_back(selfId);
    self.servers = std::move(servers);
    self.quotaSlots = quotaSlots;
    ++self.version;
    publishSelf(now, true);
}

void Membership::State::publishSelf(Instant now, bool whole)
{
    table.storeSelf(self, now);
    queue.push(selfId, whole);
}

// What others judge this node's reach by. Members held for dead count as out of reach, so that a part of the fleet
// that was cut off does not take itself for the whole.
void Membership::State::publishHealth()
{
    const auto live = static_cast<double>(table.live().size());
    const auto known = live + static_cast<double>(table.dead().size());
    board.configuration().updateFreshness([&](FreshnessRecord& record) {
        record.reachableShare = known > 0 ? answeredShare * live / known : 1;
        record.reachProofFrom = reachProofFrom();
        if (known == 0 && contacts.empty())
            record.viewRefreshed = true;
    });
}

void Membership::State::refill(Instant now)
{
    const auto rate = joining(now) ? settings.joiningBytesPerSecond : settings.bytesPerSecond;
    const auto passed = std::chrono::duration<double>(now - lastRefill).count();
    lastRefill = now;
    allowance = std::min(allowance + rate * passed, rate * allowanceSeconds);
}

uint32_t Membership::State::tellLimit() const
{
    return static_cast<uint32_t>(std::bit_width(table.live().size() + 1)) + extraTellings;
}

namespace {

    // Carries out what a step led to, with no lock held.
    void carryOut(Board& board, const Membership::Listener& listener, Effects& effects)
    {
        for (auto& message : effects.messages)
            board.outbox().post(std::move(message.to), std::move(message.message));
        if (!effects.changed.empty() && listener)
            listener(effects.changed);
    }

} // namespace

// Runs a step under the lock and carries out its effects after it.
template <typename Step>
static void run(Board& board, std::mutex& lock, const Membership::Listener& listener, Step step)
{
    Effects effects;
    {
        std::lock_guard guard(lock);
        step(effects);
    }
    carryOut(board, listener, effects);
}

Membership::Membership(Board& board, const Clock& clock, RandomSource& random, MembershipSettings settings)
    : m_state(std::make_unique<State>(board, clock, random, settings))
{
}

Membership::~Membership() = default;

void Membership::onChange(Listener listener) { m_state->listener = std::move(listener); }

void Membership::contacts(std::span<const Endpoint> endpoints)
{
    std::lock_guard guard(m_state->lock);
    auto& contacts = m_state->contacts;
    const auto known = contacts.size();
    for (const auto& endpoint : endpoints)
        if (endpoint != m_state->self.endpoint
            && std::find(contacts.begin(), contacts.end(), endpoint) == contacts.end())
            contacts.push_back(endpoint);

    // A node that knows nobody tries new contacts at once, however long it has tried others in vain.
    if (contacts.size() > known && m_state->table.live().size() == 0) {
        m_state->contactPeriod = m_state->settings.joinPeriod;
        m_state->nextReconnect = m_state->clock.now();
    }
}

void Membership::tick()
{
    run(m_state->board, m_state->lock, m_state->listener,
        [&](Effects& effects) { m_state->tick(m_state->clock.now(), effects); });
}

void Membership::receive(const Endpoint& from, const Probe& probe)
{
    run(m_state->board, m_state->lock, m_state->listener,
        [&](Effects& effects) { m_state->handle(from, probe, m_state->clock.now(), effects); });
}

void Membership::receive(const Endpoint& from, const ProbeAcknowledgement& acknowledgement)
{
    run(m_state->board, m_state->lock, m_state->listener,
        [&](Effects& effects) { m_state->handle(from, acknowledgement, m_state->clock.now(), effects); });
}

void Membership::receive(const Endpoint& from, const MemberDigest& digest)
{
    run(m_state->board, m_state->lock, m_state->listener,
        [&](Effects& effects) { m_state->handle(from, digest, m_state->clock.now(), effects); });
}

void Membership::receive(const Endpoint& from, const MemberBuckets& buckets)
{
    run(m_state->board, m_state->lock, m_state->listener,
        [&](Effects& effects) { m_state->handle(from, buckets, m_state->clock.now(), effects); });
}

void Membership::setQuotaSlots(std::span<const uint32_t> slots)
{
    std::lock_guard guard(m_state->lock);
    m_state->quotaSlots.assign(slots.begin(), slots.end());
}

void Membership::leave()
{
    run(m_state->board, m_state->lock, m_state->listener, [&](Effects& effects) {
        m_state->self.state = MemberState::Left;
        m_state->publishSelf(m_state->clock.now(), false);
        m_state->allowance = m_state->settings.joiningBytesPerSecond;
        for (uint32_t i = 0; i < m_state->tellLimit(); ++i)
            m_state->spreadNews(effects);
    });
}

Incarnation Membership::incarnation() const
{
    std::lock_guard guard(m_state->lock);
    return m_state->self.incarnation;
}

size_t Membership::liveMembers() const
{
    std::lock_guard guard(m_state->lock);
    return std::as_const(m_state->table).live().size() + (m_state->self.state == MemberState::Alive ? 1 : 0);
}

bool Membership::inDoubt() const
{
    std::lock_guard guard(m_state->lock);
    return m_state->inDoubt(m_state->clock.now());
}

} // namespace Vanillaridge

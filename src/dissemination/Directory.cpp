#include "dissemination/Dissemination.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <mutex>

namespace Vanillaridge {

namespace {

    constexpr std::string_view nodesKind = "nodes";
    constexpr std::string_view cleaningDuty = "directory";
    // Longest endpoint that is believed, in bytes.
    constexpr size_t endpointLimit = 64;
    // Entries removed in one review, so that a lost zone does not use up the calls that a node may make.
    constexpr size_t removalsPerReview = 20;
    // Pause after a failed call about this node's own entry: short while a backend server waits for the answer, longer
    // while departures that were acknowledged without being stored are all that is left to write.
    constexpr Duration retryPauseWhileAwaited = milliseconds(50);
    constexpr Duration retryPause = seconds(1);
    constexpr double retryPauseJitter = 0.5;

    // An endpoint in the characters that object names are made of.
    std::string objectName(const Endpoint& endpoint)
    {
        std::string name = std::string(nodesKind) + '/' + endpoint;
        std::replace(name.begin() + static_cast<std::ptrdiff_t>(nodesKind.size()) + 1, name.end(), ':', '-');
        std::erase_if(name, [](char character) { return character == '[' || character == ']'; });
        return name;
    }

    // Starts a line of an entry that tells of a departure: the hash of the backend server's name, and its life.
    constexpr std::string_view departureLine = "\ndeparted ";

    // The endpoint that an entry is of; the first of its lines.
    std::string_view endpointIn(std::string_view entry) { return entry.substr(0, entry.find('\n')); }

    // Puts the departures that an entry tells of on the board. A line that cannot be read tells of none.
    void readDepartures(std::string_view entry, Board& board, Instant now)
    {
        for (auto at = entry.find(departureLine); at != std::string_view::npos; at = entry.find(departureLine, at)) {
            at += departureLine.size();
            uint64_t server = 0;
            uint64_t life = 0;
            const auto* end = entry.data() + entry.size();
            const auto first = std::from_chars(entry.data() + at, end, server);
            if (first.ec != std::errc() || first.ptr == end || *first.ptr != ' ')
                continue;
            if (std::from_chars(first.ptr + 1, end, life).ec != std::errc())
                continue;
            board.departures().update(server, [&](DepartureRecord& departure) {
                departure.life = std::max(departure.life, life);
                departure.notedAt = std::max(departure.notedAt, now);
            });
        }
    }

    // An entry with the latest departures of the board, in the order of their servers.
    std::string entryText(Board& board, size_t departuresKept)
    {
        std::vector<std::pair<uint64_t, DepartureRecord>> departures;
        board.departures().forEach(
            [&](uint64_t server, const DepartureRecord& departure) { departures.emplace_back(server, departure); });
        std::ranges::sort(
            departures, std::greater(), [](const auto& entry) { return std::pair(entry.second.notedAt, entry.first); });
        departures.resize(std::min(departures.size(), departuresKept));
        std::ranges::sort(departures, std::less(), [](const auto& entry) { return entry.first; });
        std::string text = board.self().endpoint;
        for (const auto& [server, departure] : departures)
            text.append(departureLine)
                .append(std::to_string(server))
                .append(" ")
                .append(std::to_string(departure.life));
        return text;
    }

    bool isEndpoint(std::string_view text)
    {
        return !text.empty() && text.size() <= endpointLimit && text.find(':') != std::string_view::npos;
    }

} // namespace

struct Directory::State : std::enable_shared_from_this<Directory::State> {
    State(Board& board, const Clock& clock, RandomSource& random, ObjectStore& objects, DirectorySettings settings)
        : board(board)
        , clock(clock)
        , random(random)
        , objects(objects)
        , settings(settings)
        , startedAt(clock.now())
        , nextEntry(startedAt + random.jittered(settings.readPeriod, 0.5))
        , nextRead(startedAt)
        , nextCleaning(startedAt + random.jittered(settings.reviewPeriod, 0.5))
    {
    }

    // Whether this node knows no other live member.
    bool alone()
    {
        const auto self = board.self().id();
        bool alone = true;
        board.members().forEach([&](NodeId id, const MemberRecord& record) {
            if (id != self && record.said.state == MemberState::Alive)
                alone = false;
        });
        return alone;
    }

    // An entry that is there already names the same endpoint: it was written by an earlier process of this node.
    void writeEntry()
    {
        const auto text = entryText(board, settings.departuresKept);
        objects.put(objectName(board.self().endpoint), text, absentVersion,
            [weak = weak_from_this(), text](const StoreResult<StoreVersion>& result) {
                const auto self = weak.lock();
                if (!self || (!result && result.error() != StoreError::Conflict))
                    return;
                std::lock_guard guard(self->lock);
                self->entryWritten = true;
                if (result && !self->isOutdated(result.value())) {
                    self->ownVersion = result.value();
                    self->storedEntry = text;
                }
                self->nextEntry = self->clock.now() + self->random.jittered(self->settings.reviewPeriod, 0.2);
            });
    }

    void read()
    {
        objects.list(nodesKind, [weak = weak_from_this()](const StoreResult<std::vector<StoredObject>>& result) {
            const auto self = weak.lock();
            if (!self || !result)
                return;
            std::vector<Endpoint> endpoints;
            for (const auto& object : result.value()) {
                const auto endpoint = endpointIn(object.value);
                if (isEndpoint(endpoint))
                    endpoints.emplace_back(endpoint);
            }
            self->noteOwnEntry(std::ranges::find(endpoints, self->board.self().endpoint) != endpoints.end());
            if (self->listener)
                self->listener(endpoints);
        });
    }

    // An entry that an earlier life of this node wrote is as good as its own; one that is missing is written at once.
    void noteOwnEntry(bool isListed)
    {
        std::lock_guard guard(lock);
        const auto now = clock.now();
        if (isListed)
            nextEntry = std::max(nextEntry, now + random.jittered(settings.reviewPeriod, 0.2));
        else if (!entryWritten)
            nextEntry = now;
    }

    // When another era of the store begins, the own entry may have been lost. Nodes spread the calls that this takes.
    void reviewEra(Instant now)
    {
        const auto told = objects.era();
        const auto heard = board.configuration().freshness().storeEra;
        std::lock_guard guard(lock);
        if (!told)
            return;
        if (era && std::max(*told, heard) > *era) {
            storedEntry.clear();
            ownVersion.reset();
            nextReadBack = now + std::chrono::duration_cast<Duration>(random.unit() * readBackSpread());
        }
        // What others have told counts from the next call on: what was written so far may be of an earlier era.
        era = era ? std::max(*told, heard) : *told;
        if (nextReadBack == Instant() || now < nextReadBack)
            return;
        nextReadBack = Instant();
        departuresOwed = true;
    }

    std::chrono::duration<double> readBackSpread()
    {
        size_t live = 0;
        board.members().forEach(
            [&](NodeId, const MemberRecord& record) { live += record.said.state == MemberState::Alive ? 1 : 0; });
        return std::chrono::duration<double>(static_cast<double>(live) / settings.entriesReadBackPerSecond);
    }

    // Whether an answer is of an era that has ended: it tells nothing of what the store holds now. To be called under
    // the lock.
    bool isOutdated(StoreVersion version) const { return version.era < era.value_or(0); }

    // The live member with the highest score for the duty.
    bool isCleaner()
    {
        const auto duty = stableHash(cleaningDuty);
        std::pair<uint64_t, NodeId> best {};
        board.members().forEach([&](NodeId id, const MemberRecord& record) {
            if (record.said.state == MemberState::Alive)
                best = std::max(best, std::pair(dutyScore(id, duty), id));
        });
        return best.second == board.self().id();
    }

    void clean()
    {
        objects.list(nodesKind, [weak = weak_from_this()](const StoreResult<std::vector<StoredObject>>& result) {
            const auto self = weak.lock();
            if (!self || !result)
                return;
            size_t removed = 0;
            for (const auto& object : result.value()) {
                if (removed < removalsPerReview && self->isGone(Endpoint(endpointIn(object.value)))) {
                    ++removed;
                    self->removeEntry(object);
                }
            }
        });
    }

    // Whether the member is known to be gone for long. One that this node never heard of may be beyond a cut.
    bool isGone(const Endpoint& endpoint)
    {
        bool gone = false;
        board.members().visit(NodeId::of(endpoint), [&](const MemberRecord& record) {
            const bool ended = record.said.state == MemberState::Left || record.said.state == MemberState::Dead;
            gone = ended && clock.now() - record.since >= settings.goneTerm;
        });
        return gone;
    }

    // The next review finds what was not removed.
    void removeEntry(const StoredObject& object)
    {
        objects.remove(object.name, object.version, [](const StoreResult<StoreVersion>&) {});
    }

    // --- Departures

    // Reads this node's own entry, and goes on with what waits for that.
    void readOwnEntry()
    {
        const auto now = clock.now();
        {
            std::lock_guard guard(lock);
            if (ownEntryCall > now)
                return;
            ownEntryCall = now + settings.rememberLimit;
        }
        objects.get(
            objectName(board.self().endpoint), [weak = weak_from_this()](const StoreResult<StoredObject>& result) {
                const auto self = weak.lock();
                if (!self)
                    return;
                if (!result && result.error() != StoreError::NotFound) {
                    self->noteFailure();
                    return;
                }
                if (result)
                    readDepartures(result.value().value, self->board, self->clock.now());
                bool isOutdated = false;
                {
                    std::lock_guard guard(self->lock);
                    isOutdated = result && self->isOutdated(result.value().version);
                    self->ownEntryCall = Instant();
                    self->recalled = true;
                    if (!isOutdated) {
                        self->ownVersion = result ? result.value().version : absentVersion;
                        self->storedEntry = result ? result.value().value : std::string();
                    }
                }
                if (isOutdated)
                    self->noteFailure();
                self->settleWaiting();
            });
    }

    // A call about this node's own entry failed.
    void noteFailure()
    {
        std::lock_guard guard(lock);
        const auto pause = waiting.empty() ? random.jittered(retryPause, retryPauseJitter) : retryPauseWhileAwaited;
        ownEntryCall = clock.now() + pause;
    }

    // Writes the departures that the store does not have yet. A write that failed or lost a race is read back.
    void storeDepartures()
    {
        const auto text = entryText(board, settings.departuresKept);
        StoreVersion expected;
        {
            const auto now = clock.now();
            std::lock_guard guard(lock);
            if (ownEntryCall > now || !ownVersion)
                return;
            ownEntryCall = now + settings.rememberLimit;
            expected = *ownVersion;
        }
        objects.put(objectName(board.self().endpoint), text, expected,
            [weak = weak_from_this(), text](const StoreResult<StoreVersion>& result) {
                const auto self = weak.lock();
                if (!self)
                    return;
                bool isStored = false;
                {
                    std::lock_guard guard(self->lock);
                    isStored = result && !self->isOutdated(result.value());
                    self->ownEntryCall = Instant();
                    self->ownVersion = isStored ? std::optional(result.value()) : std::nullopt;
                    if (isStored)
                        self->storedEntry = text;
                }
                if (!isStored && (result || result.error() != StoreError::Conflict))
                    self->noteFailure();
                self->settleWaiting();
            });
    }

    // Whether another member keeps each departure that is recent enough for news from before it to come.
    bool isWitnessed()
    {
        const auto now = clock.now();
        bool all = true;
        board.departures().forEach([&](uint64_t, const DepartureRecord& departure) {
            all = all && (departure.witnessed || now - departure.notedAt > settings.lateNewsTerm);
        });
        return all;
    }

    // Answers those who have what they wait for, and those that have waited for too long.
    void settleWaiting()
    {
        const auto text = entryText(board, settings.departuresKept);
        const bool witnessed = isWitnessed();
        std::vector<std::pair<std::function<void(bool)>, bool>> settled;
        {
            const auto now = clock.now();
            std::lock_guard guard(lock);
            const bool stored = storedEntry == text;
            departuresOwed = departuresOwed && !stored;
            std::erase_if(waiting, [&](auto& entry) {
                const bool holds = entry.isForRecall ? recalled.load() : stored;
                if (!holds && now < entry.deadline)
                    return false;
                settled.emplace_back(std::move(entry.done), holds || (!entry.isForRecall && witnessed));
                return true;
            });
        }
        for (const auto& [done, holds] : settled)
            done(holds);
    }

    // Calls back once what is asked for holds, or has been waited for long enough.
    void callWhenSettled(bool isForRecall, std::function<void(bool)> done)
    {
        reviewEra(clock.now());
        {
            std::lock_guard guard(lock);
            departuresOwed = departuresOwed || !isForRecall;
            waiting.push_back({ isForRecall, clock.now() + settings.rememberLimit, std::move(done) });
        }
        settleWaiting();
        advanceDepartures();
    }

    // Does what the entry's departures need next.
    void advanceDepartures()
    {
        bool isBehind = false;
        bool knowsEntry = false;
        {
            std::lock_guard guard(lock);
            knowsEntry = ownVersion.has_value();
            isBehind = departuresOwed;
        }
        if (!knowsEntry && (isBehind || !recalled))
            readOwnEntry();
        else if (isBehind)
            storeDepartures();
    }

    // Who waits until the store has the departures of the board, or this node those of its earlier process.
    struct Waiting {
        bool isForRecall;
        Instant deadline;
        std::function<void(bool)> done;
    };

    Board& board;
    const Clock& clock;
    RandomSource& random;
    ObjectStore& objects;
    const DirectorySettings settings;
    const Instant startedAt;
    Listener listener;

    std::atomic<bool> recalled { false };

    std::mutex lock;
    std::vector<Waiting> waiting;
    // Whether a departure was acknowledged that the store may not have yet. It outlasts those who wait for the write: a
    // departure that is acknowledged while the store is away is written once it is back.
    bool departuresOwed { false };
    // This node's entry as the store last showed it; the version is unknown before the first reading and after a write
    // that failed.
    std::optional<StoreVersion> ownVersion;
    std::string storedEntry;
    // Era of the store that both are of, and when this node reads its entry back after a restore; the epoch when it
    // does not.
    std::optional<uint64_t> era;
    Instant nextReadBack;
    // Until when a call about it may be answered, or none is made after a failure; the epoch when there is none.
    Instant ownEntryCall;
    // Whether this life of the node has written its entry.
    bool entryWritten { false };
    // At first later than the first reading, which shows whether there is an entry already.
    Instant nextEntry;
    Instant nextRead;
    Instant nextCleaning;
};

Directory::Directory(
    Board& board, const Clock& clock, RandomSource& random, ObjectStore& objects, DirectorySettings settings)
    : m_state(std::make_shared<State>(board, clock, random, objects, settings))
{
}

Directory::~Directory() = default;

void Directory::onContacts(Listener listener) { m_state->listener = std::move(listener); }

void Directory::rememberDepartures(Done done) { m_state->callWhenSettled(false, std::move(done)); }

void Directory::recallDepartures(Done done) { m_state->callWhenSettled(true, std::move(done)); }

bool Directory::hasRecalled() const
{
    return m_state->recalled || m_state->clock.now() - m_state->startedAt >= m_state->settings.recallLimit;
}

void Directory::tick()
{
    auto& state = *m_state;
    const auto now = state.clock.now();
    bool writes = false;
    bool reads = false;
    bool cleans = false;
    // 1. See what is due.
    {
        std::lock_guard guard(state.lock);
        writes = now >= state.nextEntry;
        reads = now >= state.nextRead;
        cleans = now >= state.nextCleaning;
        if (writes)
            state.nextEntry = now + state.random.jittered(state.settings.readPeriod, 0.5);
        if (reads)
            state.nextRead = now + state.random.jittered(state.settings.readPeriod, 0.5);
        if (cleans)
            state.nextCleaning = now + state.random.jittered(state.settings.reviewPeriod, 0.1);
    }
    // 2. This node's own entry, unless the first reading shows that it is there.
    if (writes && !state.board.draining())
        state.writeEntry();
    // 3. The others', while they are needed.
    if (reads && (now - state.startedAt < state.settings.startSpan || state.alone()))
        state.read();
    // 4. What this node's earlier process knew, and what a later one will have to.
    state.reviewEra(now);
    state.advanceDepartures();
    state.settleWaiting();
    // 5. What is left of those that are gone.
    if (cleans && !state.board.draining() && state.isCleaner())
        state.clean();
}

} // namespace Vanillaridge

#include "dissemination/Dissemination.h"

#include <algorithm>
#include <mutex>

namespace Vanillaridge {

namespace {

    constexpr std::string_view nodesKind = "nodes";
    constexpr std::string_view cleaningDuty = "directory";
    // Longest endpoint that is believed, in bytes.
    constexpr size_t endpointLimit = 64;
    // Entries removed in one review, so that a lost zone does not use up the calls that a node may make.
    constexpr size_t removalsPerReview = 20;

    // An endpoint in the characters that object names are made of.
    std::string objectName(const Endpoint& endpoint)
    {
        std::string name = std::string(nodesKind) + '/' + endpoint;
        std::replace(name.begin() + static_cast<std::ptrdiff_t>(nodesKind.size()) + 1, name.end(), ':', '-');
        std::erase_if(name, [](char character) { return character == '[' || character == ']'; });
        return name;
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

    // An entry that is there already says the same: it was written by an earlier life of this node.
    void writeEntry()
    {
        objects.put(objectName(board.self().endpoint), board.self().endpoint, absentVersion,
            [weak = weak_from_this()](const StoreResult<uint64_t>& result) {
                const auto self = weak.lock();
                if (!self || (!result && result.error() != StoreError::Conflict))
                    return;
                std::lock_guard guard(self->lock);
                self->entryWritten = true;
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
                if (isEndpoint(object.value))
                    endpoints.push_back(object.value);
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
                if (removed < removalsPerReview && self->isGone(object.value)) {
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
        objects.remove(object.name, object.version, [](const StoreResult<uint64_t>&) {});
    }

    Board& board;
    const Clock& clock;
    RandomSource& random;
    ObjectStore& objects;
    const DirectorySettings settings;
    const Instant startedAt;
    Listener listener;

    std::mutex lock;
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
    // 4. What is left of those that are gone.
    if (cleans && !state.board.draining() && state.isCleaner())
        state.clean();
}

} // namespace Vanillaridge

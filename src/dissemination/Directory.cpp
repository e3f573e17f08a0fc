#include "dissemination/Dissemination.h"

#include <algorithm>
#include <mutex>

namespace Vanillaridge {

namespace {

    constexpr std::string_view directoryPrefix = "directory/";
    // Share of an object's contacts that must be gone before it is rewritten.
    constexpr double goneShare = 0.5;
    // Contacts that are kept although the keeper does not know them.
    constexpr size_t unknownKept = 4;
    // Longest endpoint that is believed, in bytes.
    constexpr size_t endpointLimit = 64;

    std::string objectName(uint32_t index) { return std::string(directoryPrefix) + std::to_string(index); }

    // One endpoint on each line.
    std::vector<Endpoint> endpointsOf(std::string_view text)
    {
        std::vector<Endpoint> endpoints;
        while (!text.empty()) {
            const auto line = text.substr(0, text.find('\n'));
            text.remove_prefix(std::min(text.size(), line.size() + 1));
            if (!line.empty() && line.size() <= endpointLimit && line.find(':') != std::string_view::npos)
                endpoints.emplace_back(line);
        }
        return endpoints;
    }

    std::string textOf(std::span<const Endpoint> endpoints)
    {
        std::string text;
        for (const auto& endpoint : endpoints)
            text += endpoint + '\n';
        return text;
    }

} // namespace

struct Directory::State : std::enable_shared_from_this<Directory::State> {
    State(Board& board, const Clock& clock, RandomSource& random, Platform& platform, DirectorySettings settings)
        : board(board)
        , clock(clock)
        , random(random)
        , platform(platform)
        , settings(settings)
        , selfId(board.self().id())
        , readPeriod(settings.readPeriod)
        , nextRead(clock.now())
        , nextReview(clock.now() + random.jittered(settings.readPeriod * 10, 0.5))
    {
    }

    struct Fleet {
        // Live members by their scores for one object, highest first.
        std::vector<std::pair<uint64_t, Endpoint>> ranked;
        bool isKeeper { false };
    };

    // The keeper of an object is the live member with the highest score for it; the next ones are its contacts, so
    // that they are spread over the fleet and change little.
    Fleet rank(uint32_t index)
    {
        Fleet fleet;
        const auto duty = stableHash(objectName(index));
        board.members().forEach([&](NodeId id, const MemberRecord& record) {
            if (record.said.state == MemberState::Alive)
                fleet.ranked.emplace_back(dutyScore(id, duty), record.said.endpoint);
        });
        std::sort(fleet.ranked.begin(), fleet.ranked.end(), std::greater<>());
        fleet.isKeeper = !fleet.ranked.empty() && fleet.ranked.front().second == board.self().endpoint;
        return fleet;
    }

    bool alone()
    {
        bool alone = true;
        board.members().forEach([&](NodeId id, const MemberRecord& record) {
            if (id != selfId && record.said.state == MemberState::Alive)
                alone = false;
        });
        return alone;
    }

    void read()
    {
        const auto index = static_cast<uint32_t>(random.below(settings.objects));
        board.counters().add(Counter::PlatformCalls);
        platform.get(objectName(index), [weak = weak_from_this()](const PlatformResult<StoredObject>& result) {
            const auto self = weak.lock();
            if (!self || !result || !self->listener)
                return;
            self->listener(endpointsOf(result.value().value));
        });
    }

    void review(uint32_t index)
    {
        if (!rank(index).isKeeper)
            return;
        board.counters().add(Counter::PlatformCalls);
        platform.get(objectName(index), [weak = weak_from_this(), index](const PlatformResult<StoredObject>& result) {
            const auto self = weak.lock();
            if (self && (result || result.error() == PlatformError::NotFound))
                self->rewrite(index, result);
        });
    }

    // Whether too few of the contacts are known to be there.
    bool isWorn(std::span<const Endpoint> contacts, const Fleet& fleet) const
    {
        const auto isLive = [&](const Endpoint& contact) {
            return std::any_of(
                fleet.ranked.begin(), fleet.ranked.end(), [&](const auto& member) { return member.second == contact; });
        };
        const auto live = static_cast<double>(std::count_if(contacts.begin(), contacts.end(), isLive));
        const auto wanted = static_cast<double>(std::min<size_t>(settings.contacts, fleet.ranked.size()));
        return live < wanted * goneShare;
    }

    // The members with the highest scores, and some contacts that this node knows nothing of: it may itself be the one
    // that is cut off, and must not wipe out the others' way to each other.
    std::vector<Endpoint> choose(std::span<const Endpoint> present, const Fleet& fleet)
    {
        std::vector<Endpoint> unknown;
        for (const auto& contact : present)
            if (unknown.size() < unknownKept && !board.members().visit(NodeId::of(contact), [](const auto&) {}))
                unknown.push_back(contact);
        std::vector<Endpoint> chosen;
        for (const auto& member : fleet.ranked)
            if (chosen.size() + unknown.size() < settings.contacts)
                chosen.push_back(member.second);
        chosen.insert(chosen.end(), unknown.begin(), unknown.end());
        return chosen;
    }

    void rewrite(uint32_t index, const PlatformResult<StoredObject>& present)
    {
        const auto fleet = rank(index);
        const auto contacts = present ? endpointsOf(present.value().value) : std::vector<Endpoint>();
        if (!fleet.isKeeper || !isWorn(contacts, fleet))
            return;
        const auto text = textOf(choose(contacts, fleet));
        if (present && text == present.value().value)
            return;
        board.counters().add(Counter::PlatformCalls);
        platform.put(objectName(index), text, present ? present.value().version : absentVersion,
            [](const PlatformResult<uint64_t>&) {});
    }

    Board& board;
    const Clock& clock;
    RandomSource& random;
    Platform& platform;
    const DirectorySettings settings;
    const NodeId selfId;
    Listener listener;

    std::mutex lock;
    Duration readPeriod;
    Instant nextRead;
    Instant nextReview;
};

Directory::Directory(
    Board& board, const Clock& clock, RandomSource& random, Platform& platform, DirectorySettings settings)
    : m_state(std::make_shared<State>(board, clock, random, platform, settings))
{
}

Directory::~Directory() = default;

void Directory::onContacts(Listener listener) { m_state->listener = std::move(listener); }

void Directory::tick()
{
    auto& state = *m_state;
    const auto now = state.clock.now();
    bool reads = false;
    bool reviews = false;
    // 1. See what is due.
    {
        std::lock_guard guard(state.lock);
        reads = now >= state.nextRead;
        reviews = now >= state.nextReview;
        if (reads)
            state.nextRead = now + state.random.jittered(state.readPeriod, 0.5);
        if (reviews)
            state.nextReview = now + state.random.jittered(state.settings.reviewPeriod, 0.1);
    }
    // 2. Whoever knows nobody reads, ever more rarely.
    if (reads) {
        const auto alone = state.alone();
        if (alone)
            state.read();
        std::lock_guard guard(state.lock);
        state.readPeriod
            = alone ? std::min(2 * state.readPeriod, state.settings.readPeriodLimit) : state.settings.readPeriod;
    }
    // 3. Whoever keeps an object sees to it.
    if (reviews && !state.board.draining())
        for (uint32_t i = 0; i < state.settings.objects; ++i)
            state.review(i);
}

} // namespace Vanillaridge

/// How an accepted configuration reaches every node.
///
/// Operators write the manifest object. A few nodes in each zone watch it, check it and spread its number on membership
/// messages; everybody else fetches the sections that changed from peers. The number of a configuration is the one that
/// the manifest gives itself, which outlasts a store that is restored from a backup; without one it is the number of
/// the store's version, which does so only if the store is never restored. Facts are written to board.configuration();
/// messages go to board.outbox().
#pragma once

#include "board/Board.h"
#include "store/Store.h"

namespace Vanillaridge {

/// A named part of a manifest, in a canonical form: equal parts have equal texts.
struct ConfigurationSection {
    std::string name;
    std::string text;
    bool operator==(const ConfigurationSection&) const = default;
};

/// What came of checking a manifest: declarations and their sections, or what is wrong with it.
struct CheckedManifest {
    std::optional<Declarations> declarations;
    /// The number that the manifest gives itself, higher with each change; nothing when it has none.
    std::optional<uint64_t> number;
    /// With names that differ, in any order.
    std::vector<ConfigurationSection> sections;
    std::vector<std::string> errors;
};

/// How manifests are read. May be called from several threads.
class ManifestCodec {
public:
    virtual ~ManifestCodec() = default;
    /// Reads and checks a manifest as operators wrote it.
    virtual CheckedManifest check(std::string_view text) const = 0;
    /// Reads and checks the sections of a manifest, whatever their order.
    virtual CheckedManifest assemble(std::span<const ConfigurationSection>) const = 0;
};

struct DisseminationSettings {
    /// Object that holds the manifest.
    std::string manifestObject { defaultManifestObject };
    /// Members of each zone that watch the store.
    uint32_t watchersPerZone { 2 };
    /// Time between two looks at who the watchers are, and the spread of the first looks of nodes that start together.
    Duration reviewPeriod { seconds(1) };
    Duration startSpread { milliseconds(100) };
    /// How long after its start a node reads the manifest rather than watches it: it may not know all members yet, and
    /// would take itself for a watcher.
    Duration joinDelay { seconds(2) };
    /// Patience of a watch; its end confirms the number.
    Duration watchPatience { seconds(2) };
    /// Time without news from the store after which the manifest is read beside a silent watch.
    Duration silenceLimit { milliseconds(2500) };
    /// Wait after a watch that failed.
    Duration failureWait { seconds(1) };
    /// Time without any confirmation after which a node that is no watcher asks the store itself, calls of the whole
    /// fleet per second that may come of this, and the least wait before a node asks again.
    Duration takeoverAfter { seconds(5) };
    double takeoverCallsPerSecond { 20 };
    Duration takeoverRetry { seconds(10) };
    /// How long a node watches in place of silent watchers before it sees whether others confirm again.
    Duration takeoverTerm { seconds(30) };
    /// Longest wait for an answer of the store or of a peer.
    Duration answerTimeout { seconds(1) };
    /// Peers tried before the store is asked, and the wait before it is asked again.
    uint32_t peersTried { 3 };
    Duration storeRetry { seconds(5) };
    /// Bytes of sections in one reply, and sections asked for at once.
    size_t replyLimit { 256 * 1024 };
    size_t sectionsPerRequest { 512 };
    /// Earlier lists of sections kept, to answer with differences.
    size_t listsKept { 8 };
};

/// May be called from several threads. References must outlive it; answers of the store that come later are ignored.
class Dissemination {
public:
    /// Told, outside any lock, when a configuration has come into force.
    using Listener = std::function<void(const ConfigurationPointer&)>;

    Dissemination(Board&, const Clock&, RandomSource&, ObjectStore&, const ManifestCodec&, DisseminationSettings);
    ~Dissemination();

    /// To be set before the first tick.
    void onAdopted(Listener);
    /// Does what is due; to be called every 50 to 100 ms.
    void tick();
    /// Takes a manifest from elsewhere than the store, such as a local file. Errors are returned; none means that
    /// it is in force or an equal or higher number already was.
    std::vector<std::string> adopt(uint64_t number, std::string_view text);

    void receive(const Endpoint& from, const SectionListRequest&);
    void receive(const Endpoint& from, const SectionList&);
    void receive(const Endpoint& from, const SectionRequest&);
    void receive(const Endpoint& from, const SectionReply&);

    /// Whether this node watches the store at present.
    bool watching() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

struct DirectorySettings {
    /// Time between two reads while this node knows nobody, or has just started.
    Duration readPeriod { seconds(1) };
    /// How long after its start a node reads although it knows others: those that started with it may have found
    /// nobody else.
    Duration startSpan { milliseconds(2500) };
    /// Time between two looks of a node at its own entry, and of the cleaner at all of them.
    Duration reviewPeriod { std::chrono::minutes(5) };
    /// Time that a member must have been gone before its entry is removed.
    Duration goneTerm { std::chrono::minutes(2) };
    /// Departures of backend servers kept in an entry, latest first.
    size_t departuresKept { 8 };
    /// Longest wait for the store before a departure is acknowledged, and for the departures of an earlier process.
    Duration rememberLimit { milliseconds(500) };
    /// How late news of a backend server may come.
    Duration lateNewsTerm { seconds(30) };
    Duration recallLimit { seconds(3) };
    /// Entries per second that the whole fleet reads back, and writes if need be, after the store was restored.
    double entriesReadBackPerSecond { 100 };
};

/// Where nodes find each other, and what a node that starts again must know of its earlier process: each has an entry
/// in the store that names its endpoint. A node that knows nobody reads them all; membership does the rest. An entry
/// also holds the board's departures: they are read once at the start, and written when there is a new one. Entries of
/// nodes that are gone are removed by one member, chosen by hashing. Each node looks after its entry again when the
/// store was restored from a backup, which may lack it, or departures in it.
class Directory {
public:
    /// Told, outside any lock, the endpoints read.
    using Listener = std::function<void(std::span<const Endpoint>)>;

    Directory(Board&, const Clock&, RandomSource&, ObjectStore&, DirectorySettings);
    ~Directory();

    /// To be set before the first tick.
    void onContacts(Listener);
    /// Does what is due; to be called every 50 to 1,000 ms.
    void tick();

    /// Each calls back once, from any thread, at the latest after rememberLimit and one tick: whether the store has all
    /// departures of the board, or after that limit other members keep them, and whether the board has those of this
    /// node's earlier process.
    using Done = std::function<void(bool)>;
    void rememberDepartures(Done);
    void recallDepartures(Done);
    /// Whether the departures of this node's earlier process are on the board, or the store has not told them within
    /// recallLimit. Before that no backend server can be taken up safely.
    bool hasRecalled() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Vanillaridge

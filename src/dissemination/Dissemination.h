/// How an accepted configuration reaches every node.
///
/// Operators write the manifest object, and then its version into the small head object. A few nodes in each zone watch
/// the head; some of them read the manifest, check it and spread its number on membership messages; everybody else
/// fetches the sections that changed from peers. The number of a configuration is the platform's version of the
/// manifest object. Facts are written to board.configuration(); messages go to board.outbox().
#pragma once

#include "board/Board.h"
#include "platform/Platform.h"

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
    /// Members of each zone that watch the platform.
    uint32_t watchersPerZone { 2 };
    /// Time between two reads of the head that confirm the number.
    Duration confirmPeriod { seconds(1) };
    /// Patience of a watch.
    Duration watchPatience { seconds(20) };
    /// Longest wait for an answer of the platform or of a peer.
    Duration answerTimeout { seconds(1) };
    /// Watchers read a new manifest one after the other, as far as it has not come from peers meanwhile: how many do so
    /// at once, and the time between them.
    uint32_t readersAtOnce { 2 };
    Duration readerStep { milliseconds(200) };
    /// Time in which one of the watchers reads the manifest although its head has not changed.
    Duration manifestPeriod { seconds(5) };
    /// Peers tried before the platform is asked, and the wait before it is asked again.
    uint32_t peersTried { 3 };
    Duration platformRetry { seconds(5) };
    /// Bytes of sections in one reply, and sections asked for at once.
    size_t replyLimit { 256 * 1024 };
    size_t sectionsPerRequest { 512 };
    /// Earlier lists of sections kept, to answer with differences.
    size_t listsKept { 8 };
};

/// May be called from several threads. References must outlive it; answers of the platform that come later are ignored.
class Dissemination {
public:
    /// Told, outside any lock, when a configuration has come into force.
    using Listener = std::function<void(const ConfigurationPointer&)>;

    Dissemination(Board&, const Clock&, RandomSource&, Platform&, const ManifestCodec&, DisseminationSettings);
    ~Dissemination();

    /// To be set before the first tick.
    void onAdopted(Listener);
    /// Does what is due; to be called every 50 to 100 ms.
    void tick();
    /// Takes a manifest from elsewhere than the platform, such as a local file. Errors are returned; none means that
    /// it is in force or an equal or higher number already was.
    std::vector<std::string> adopt(uint64_t number, std::string_view text);

    void receive(const Endpoint& from, const SectionListRequest&);
    void receive(const Endpoint& from, const SectionList&);
    void receive(const Endpoint& from, const SectionRequest&);
    void receive(const Endpoint& from, const SectionReply&);

    /// Whether this node watches the platform at present.
    bool watching() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

struct DirectorySettings {
    /// Directory objects, each kept by one member.
    uint32_t objects { 4 };
    /// Contacts in each.
    uint32_t contacts { 12 };
    /// Time between two looks of the keeper at its object.
    Duration reviewPeriod { std::chrono::minutes(5) };
    /// Time between two reads while this node knows nobody, made longer by each failure up to the limit.
    Duration readPeriod { seconds(1) };
    Duration readPeriodLimit { seconds(30) };
};

/// First contacts in a few small objects of the platform, "directory/0" and on: read by nodes that know nobody, and
/// rewritten when most of their contacts have gone, by members that are chosen by hashing.
class Directory {
public:
    /// Told, outside any lock, the endpoints read.
    using Listener = std::function<void(std::span<const Endpoint>)>;

    Directory(Board&, const Clock&, RandomSource&, Platform&, DirectorySettings);
    ~Directory();

    /// To be set before the first tick.
    void onContacts(Listener);
    /// Does what is due; to be called every 50 to 1,000 ms.
    void tick();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Vanillaridge

// What dissemination keeps beside the board, and its steps. All under one lock, which is free while calling out.
#pragma once

#include "dissemination/SectionStore.h"

#include <mutex>

namespace Vanillaridge {

// What a step leads to, carried out after the lock is released.
struct DisseminationEffects {
    std::vector<OutgoingMessage> messages;
    std::vector<std::function<void()>> storeCalls;
    ConfigurationPointer adopted;
};

// A configuration on its way here from peers.
struct Fetch {
    uint64_t number { 0 };
    Endpoint peer;
    Instant begunAt;
    Instant deadline;
    uint32_t peersTried { 0 };
    // Whether differences were of no use, so that whole lists are asked for.
    bool wantsWholeList { false };
    uint64_t contentHash { 0 };
    // Known once the list has come.
    SectionHashes hashes;
    std::unordered_map<uint64_t, std::string> arrived;
};

// A call to the store that may stay without an answer.
struct PendingCall {
    // 0 while there is none.
    uint64_t ticket { 0 };
    Instant deadline;
    bool waits(Instant now) const { return ticket != 0 && now < deadline; }
};

struct Dissemination::State : std::enable_shared_from_this<Dissemination::State> {
    using Effects = DisseminationEffects;
    using Arrival = void (State::*)(const StoreResult<StoredObject>&, Instant askedAt);

    State(Board&, const Clock&, RandomSource&, ObjectStore&, const ManifestCodec&, DisseminationSettings);

    // Runs `step(Effects&)` under the lock and carries out its effects after it.
    template <typename Step> void run(Step&& step)
    {
        Effects effects;
        {
            std::lock_guard guard(lock);
            step(effects);
        }
        carryOut(effects);
    }
    void carryOut(Effects&);

    void tick(Instant now, Effects&);
    void noteBehind(Instant now);
    std::vector<std::string> take(uint64_t number, CheckedManifest, Effects&);
    void logRejected(uint64_t number, std::string_view error) const;
    uint64_t heldNumber() const { return store.number(); }

    // The store's side, in Watching.cpp.
    void reviewDuty();
    void reviewSilence(Instant now, Effects&);
    Duration takeoverSpread() const;
    bool isUnconfirmed(const FreshnessRecord&, Instant now) const;
    void watchManifest(Instant now, Effects&);
    void watchEnded(uint64_t ticket, const StoreResult<StoredObject>&, Instant askedAt);
    void readObject(std::string_view name, PendingCall State::*, Arrival, Instant now, Effects&);
    void readManifest(Instant now, Effects&);
    void manifestArrived(const StoreResult<StoredObject>&, Instant askedAt);
    bool noteStoreAnswer(Instant askedAt);
    void beginTakeover(Instant now);
    bool confirm(StoreVersion, Instant askedAt);
    void judge(const StoredObject&, Effects&);
    bool isInForceOtherwise(uint64_t number, const CheckedManifest&) const;
    void logNotAdopted(std::string_view event, uint64_t number, StoreVersion) const;
    void writeStatus(Instant now, Effects&);
    void statusArrived(const StoreResult<StoredObject>&, Instant askedAt);
    PendingCall newCall(Instant now, Duration patience);

    // The peers' side, in Fetching.cpp.
    void fetch(Instant now, Effects&);
    void askNextPeer(Instant now, Effects&);
    void giveUpPeer(std::string_view why, Instant now, Effects&);
    void logGivenUp(std::string_view why, Instant now) const;
    std::optional<Endpoint> drawPeer();
    void requestSections(Instant now, Effects&);
    void finishFetch(Effects&);
    void logFetched() const;
    void noteUnreadable(uint64_t number, const CheckedManifest&, Effects&);
    void handle(const Endpoint& from, const SectionListRequest&, Effects&);
    void handle(const Endpoint& from, const SectionList&, Instant now, Effects&);
    void handle(const Endpoint& from, const SectionRequest&, Effects&);
    void handle(const Endpoint& from, const SectionReply&, Instant now, Effects&);

    Board& board;
    const Clock& clock;
    RandomSource& random;
    ObjectStore& objects;
    const ManifestCodec& codec;
    const DisseminationSettings settings;
    const NodeId selfId;

    mutable std::mutex lock;
    Listener listener;
    SectionStore store;
    // Latest version of the manifest that was judged here, its number unless it was found bad, and whether it may
    // confirm the configuration in force. Nothing is held for a bad one: if others go by its number, this node is
    // behind.
    StoreVersion judgedVersion;
    std::optional<uint64_t> judgedNumber;
    bool judgedMayConfirm { false };

    bool isWatcher { false };
    size_t liveMembers { 0 };
    // Until when this node watches although others are chosen, and when it asks the store next while nobody confirms;
    // the epoch while others do.
    Instant takeoverUntil;
    Instant nextTakeover;
    Instant nextReview;
    Instant reviewedAt;
    // Watchers act on reviews from here on.
    Instant firstWatch;
    // Whether the store has answered a reading of the manifest, and until when peers are not asked in its place.
    bool storeHasAnswered { false };
    Instant firstFetch;
    uint64_t lastTicket { 0 };
    PendingCall manifestWatch;
    PendingCall manifestRead;
    Instant nextManifestRead;
    // Highest version of the manifest that the store has shown.
    StoreVersion seenVersion;

    std::optional<Fetch> fetching;
    Instant nextStoreFetch;

    // What the status object has yet to tell, and of which version of the manifest.
    StoreVersion statusDue;
    std::string statusText;
    PendingCall statusCall;
};

} // namespace Vanillaridge

/// What one node consists of: the board, the controllers over it, and the transports. Private to the node library.
#pragma once

#include "admission/Admission.h"
#include "announcement/Announcement.h"
#include "board/Board.h"
#include "dialect/Dialect.h"
#include "dissemination/Dissemination.h"
#include "entry/Entry.h"
#include "freshness/Freshness.h"
#include "http/Http.h"
#include "intake/Intake.h"
#include "membership/Membership.h"
#include "node/LatencyHistogram.h"
#include "node/LoopLag.h"
#include "peer/Peer.h"
#include "placement/Placement.h"
#include "quota/Quota.h"
#include "retry/Retry.h"
#include "settings/Settings.h"
#include "verdict/Verdict.h"
#include "witness/Witness.h"

namespace Vanillaridge {

/// Attempts that wait for admission, and how each is told.
class AdmissionWaiters {
public:
    using Tell = std::function<void(const AdmissionDecision&)>;

    void add(const AttemptId&, Tell);
    void remove(const AttemptId&);
    /// Tells the attempts that the changes are about.
    void tell(std::span<const AdmissionChange>);
    bool any() const { return m_count.load() > 0; }
    /// An attempt has been told to wait.
    void noteWaiting() const
    {
        if (m_onWaiting)
            m_onWaiting();
    }
    /// To be set before the first attempt.
    void onWaiting(std::function<void()> callback) { m_onWaiting = std::move(callback); }

private:
    Sharded<AttemptId, Tell> m_waiting;
    std::atomic<size_t> m_count { 0 };
    std::function<void()> m_onWaiting;
};

/// The controllers of a node, in the order in which they depend on each other. They meet on the board only.
struct Controllers {
    Controllers(Board&, SystemClock&, RandomSource&, ObjectStore&, const ManifestCodec&, const Settings&,
        const std::string& manifestObject);

    LocalServers localServers;
    Membership membership;
    Directory directory;
    Witness witness;
    Dissemination dissemination;
    Freshness freshness;
    Intake intake;
    Quota quota;
    Retry retry;
    Entry entry;
    Placement placement;
    Admission admission;
    AdmissionWaiters waiters;
    GuardLedger guardLedger;
    EntryLedger entryLedger;
    Duplicates duplicates;
};

/// What the flows of requests use.
struct Parts {
    boost::asio::io_context& context;
    Board& board;
    SystemClock& clock;
    RandomSource& random;
    Controllers& control;
    PeerTransport& peers;
    BackendPool& backends;
    const Dialect& dialect;
    const Settings& settings;
    const LoopLag& loopLag;
    Latencies& latencies;
    BufferBudget& buffers;
};

} // namespace Vanillaridge

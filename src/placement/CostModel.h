/// What requests are likely to cost, how fast backend servers are, and when a request would complete at one of them.
///
/// Learned from completions seen by this node; no message carries anything for it. Costs are in seconds at a server of
/// mean speed, which has speed 1.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

/// What is known of a request before it is sent.
struct CostTraits {
    std::string_view route {};
    /// Bytes of its body; nothing when they are not known.
    std::optional<uint64_t> bodyBytes {};
    /// Time within which an answer has its full worth; 0 for none.
    Duration targetLatency { 0 };
};

/// Likely cost of a request.
struct CostEstimate {
    /// Seconds at a server of mean speed; 0 if nothing is known.
    double mean { 0 };
    /// A cost that few requests of the kind exceed.
    double tail { 0 };
    /// Mean over all requests of the service.
    double serviceMean { 0 };
};

/// May be called from several threads. The board must outlive it.
class CostModel {
public:
    explicit CostModel(Board& board)
        : m_board(board)
    {
    }

    CostEstimate estimate(std::string_view service, const CostTraits&) const;
    /// Records how long a request took at a backend server.
    void record(std::string_view service, const CostTraits&, Duration took) const;

private:
    Board& m_board;
};

/// Records a completion at a server for its speed.
/// \param expected cost that was expected, in seconds
void recordSpeed(SpeedRecord&, double expected, Duration took, Instant now);
/// Speed from what is recorded. What is old draws back to 1, so that a server that was slow is tried again.
double speedAt(const SpeedRecord&, Instant now);

/// A backend server as the estimate needs it.
struct ServerLoad {
    /// Requests that it works on at once.
    double limit { 1 };
    /// Requests there, this node's and others', as far as is known; those of this node; what these are expected to
    /// cost.
    double requests { 0 };
    double ownRequests { 0 };
    double ownCost { 0 };
    double speed { 1 };
};

/// Seconds until a request of this cost would complete: the wait until a slot is free, and its work there.
double completionTime(const ServerLoad&, const CostEstimate&, double cost);

} // namespace Vanillaridge

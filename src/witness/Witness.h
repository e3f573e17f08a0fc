/// Departures of backend servers that other members keep while the store is away.
///
/// A departure is acknowledged only when it outlasts this process. Each member offers the departures of its own backend
/// servers to a few others, which keep them and remind the node's next process. Facts stand in board.departures() and
/// board.witnessed(); messages go to board.outbox() as datagrams, which nodes of an earlier version drop.
#pragma once

#include "board/Board.h"

namespace Vanillaridge {

struct WitnessSettings {
    /// Members that a departure is offered to at once, and the pause before others are asked if none has answered.
    size_t witnesses { 2 };
    Duration offerPause { milliseconds(100) };
    /// How long after it was noted a departure is offered. No shorter than DirectorySettings::lateNewsTerm, within
    /// which a departure is acknowledged only if it is kept.
    Duration offerTerm { seconds(30) };
    /// How long departures are kept for another node, and the pause between two reminders of its next process.
    Duration keepTerm { std::chrono::minutes(10) };
    Duration reminderPause { milliseconds(500) };
    /// Departures in one message, and kept for one process of a node.
    size_t departuresKept { 8 };
};

/// May be called from several threads. References must outlive it.
class Witness {
public:
    /// Told, outside any lock, that departures of an earlier process are on the board, and which member kept them.
    using Listener = std::function<void(const Endpoint& witness)>;

    Witness(Board&, const Clock&, RandomSource&, WitnessSettings);
    ~Witness();

    /// To be set before the first tick.
    void onRecalled(Listener);
    /// Does what is due; to be called every 50 to 100 ms.
    void tick();
    void receive(const Endpoint& from, const DepartureNews&);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Vanillaridge

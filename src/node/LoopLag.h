/// How late the event loop is. Private to the node library.
#pragma once

#include "board/Board.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Vanillaridge {

/// Measures by how much a timer fires late: for as long may a request have waited in its socket before it was read.
/// The average goes onto the board.
class LoopLag {
public:
    LoopLag(boost::asio::io_context&, Board&);

    void start();
    /// Rises at once and falls over some periods. Any thread may ask.
    Duration value() const { return Duration(m_value.load(std::memory_order_relaxed)); }

private:
    void awaitNext();
    void note(Duration lag);

    boost::asio::steady_timer m_timer;
    Board& m_board;
    std::atomic<Duration::rep> m_value { 0 };
};

} // namespace Vanillaridge

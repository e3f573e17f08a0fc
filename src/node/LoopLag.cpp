#include "node/LoopLag.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    // Short beside the lag that matters, long beside what a timer costs.
    constexpr Duration period = milliseconds(50);
    // Share of the former value that is left after a period with less lag.
    constexpr double persistence = 0.7;

    Duration averaged(Duration former, Duration lag)
    {
        const auto mean = double(former.count()) * persistence + double(lag.count()) * (1 - persistence);
        return Duration(static_cast<Duration::rep>(mean));
    }

} // namespace

LoopLag::LoopLag(boost::asio::io_context& context, Board& board)
    : m_timer(context)
    , m_board(board)
{
}

void LoopLag::start()
{
    m_timer.expires_after(period);
    awaitNext();
}

void LoopLag::awaitNext()
{
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        const auto now = std::chrono::steady_clock::now();
        note(std::max(Duration(0), Duration(now - m_timer.expiry())));
        m_timer.expires_at(now + period);
        awaitNext();
    });
}

void LoopLag::note(Duration lag)
{
    m_value.store(std::max(lag, averaged(value(), lag)).count(), std::memory_order_relaxed);
    m_board.noteLag(averaged(m_board.lag(), lag));
}

} // namespace Vanillaridge

/// Waiting without a thread: coroutines, and boxes that hand values from any thread to a coroutine.
#pragma once

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>

namespace Vanillaridge {

/// What orders the steps of one request or connection.
using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

/// Coroutines run on strands. With the executor's type known, no step pays for an erased one.
template <typename Value> using Task = boost::asio::awaitable<Value, Strand>;
inline constexpr boost::asio::use_awaitable_t<Strand> useAwaitable;

/// Values on their way to one coroutine, in order. Any thread may put and close; one coroutine at a time receives, and
/// goes on by its own executor. What was put before the closing is still received.
template <typename Value> class Mailbox {
public:
    /// \param capacity values that may wait; a further one is refused
    explicit Mailbox(size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// False when the box is closed or full.
    bool put(Value value)
    {
        std::unique_ptr<Waiter> waiter;
        {
            std::lock_guard guard(m_lock);
            if (m_closed || m_values.size() >= m_capacity)
                return false;
            if (!m_waiter) {
                m_values.push_back(std::move(value));
                return true;
            }
            waiter = std::move(m_waiter);
        }
        waiter->resume(std::move(value));
        return true;
    }

    /// Nothing is put any more; a coroutine that waits is told.
    void close()
    {
        std::unique_ptr<Waiter> waiter;
        {
            std::lock_guard guard(m_lock);
            m_closed = true;
            waiter = std::move(m_waiter);
        }
        if (waiter)
            waiter->resume(std::nullopt);
    }

    bool closed() const
    {
        std::lock_guard guard(m_lock);
        return m_closed;
    }

    /// The next value, if one is there already.
    std::optional<Value> takeNow()
    {
        std::lock_guard guard(m_lock);
        return takeFirst();
    }

    /// The next value; nothing once the box is closed and empty. Goes on at once if there is something to say.
    Task<std::optional<Value>> receive()
    {
        std::optional<Value> value;
        if (!isDecided(value))
            value = co_await awaitNext();
        co_return value;
    }

private:
    /// The coroutine that waits, whatever its type.
    struct Waiter {
        virtual ~Waiter() = default;
        virtual void resume(std::optional<Value>) = 0;
    };

    template <typename Handler> struct HandlerWaiter final : Waiter {
        explicit HandlerWaiter(Handler handler)
            : handler(std::move(handler))
        {
        }

        void resume(std::optional<Value> value) override
        {
            const auto executor = boost::asio::get_associated_executor(handler);
            boost::asio::post(executor, [handler = std::move(handler), value = std::move(value)]() mutable {
                std::move(handler)(std::move(value));
            });
        }

        Handler handler;
    };

    Task<std::optional<Value>> awaitNext()
    {
        return boost::asio::async_initiate<const boost::asio::use_awaitable_t<Strand>, void(std::optional<Value>)>(
            [this](auto handler) { this->wait(std::move(handler)); }, useAwaitable);
    }

    // Whether receiving has come to an end without waiting, and with which value.
    bool isDecided(std::optional<Value>& value)
    {
        std::lock_guard guard(m_lock);
        value = takeFirst();
        return value || m_closed;
    }

    template <typename Handler> void wait(Handler handler)
    {
        std::unique_ptr<Waiter> waiter = std::make_unique<HandlerWaiter<Handler>>(std::move(handler));
        std::optional<Value> value;
        {
            std::lock_guard guard(m_lock);
            value = takeFirst();
            if (!value && !m_closed) {
                m_waiter = std::move(waiter);
                return;
            }
        }
        waiter->resume(std::move(value));
    }

    std::optional<Value> takeFirst()
    {
        if (m_values.empty())
            return std::nullopt;
        std::optional<Value> value(std::move(m_values.front()));
        m_values.pop_front();
        return value;
    }

    mutable std::mutex m_lock;
    std::deque<Value> m_values;
    const size_t m_capacity;
    bool m_closed { false };
    std::unique_ptr<Waiter> m_waiter;
};

/// Tells a coroutine that something happened; several times before it looks count as one.
class Event {
public:
    void set() { m_box.put(true); }
    void close() { m_box.close(); }
    /// Waits for the next time; false once the event is closed.
    Task<bool> wait()
    {
        const auto happened = co_await m_box.receive();
        co_return happened.has_value();
    }

private:
    Mailbox<bool> m_box { 1 };
};

} // namespace Vanillaridge

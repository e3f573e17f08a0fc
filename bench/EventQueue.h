/// Events in the order of their time, under a clock that jumps from one to the next.
#pragma once

#include "core/Core.h"

#include <queue>

namespace Vanillaridge {

class EventQueue {
public:
    using Action = std::function<void()>;

    ManualClock& clock() { return m_clock; }
    Instant now() const { return m_clock.now(); }

    void at(Instant due, Action action) { m_events.push({ due, ++m_sequence, std::move(action) }); }
    void after(Duration delay, Action action) { at(now() + delay, std::move(action)); }

    // Runs all events that are due before the given instant.
    void runUntil(Instant end)
    {
        while (!m_events.empty() && m_events.top().due < end) {
            auto next = std::move(const_cast<Event&>(m_events.top()));
            m_events.pop();
            m_clock.advance(std::max(Duration(0), next.due - now()));
            next.action();
        }
        m_clock.advance(end - now());
    }

private:
    struct Event {
        Instant due;
        uint64_t sequence;
        Action action;
        bool operator<(const Event& other) const
        {
            return std::pair(other.due, other.sequence) < std::pair(due, sequence);
        }
    };

    ManualClock m_clock;
    std::priority_queue<Event> m_events;
    uint64_t m_sequence { 0 };
};

} // namespace Vanillaridge

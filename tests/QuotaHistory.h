// What became of every request of one account, and how that compares with what the account is owed.
#pragma once

#include "core/Core.h"

#include <algorithm>
#include <limits>

namespace Vanillaridge {

class QuotaHistory {
public:
    struct Arrival {
        Instant at;
        Instant admittedAt;
        bool admitted = false;
    };

    size_t arrive(Instant at)
    {
        m_arrivals.push_back({ at, {}, false });
        return m_arrivals.size() - 1;
    }

    void admit(size_t arrival, Instant at)
    {
        m_arrivals[arrival].admitted = true;
        m_arrivals[arrival].admittedAt = at;
    }

    size_t arrivals() const { return m_arrivals.size(); }

    size_t admitted() const { return static_cast<size_t>(std::ranges::count(m_arrivals, true, &Arrival::admitted)); }

    // Most requests admitted in any window beyond burst + rate x its length; negative if there is room left.
    double excess(double rate, double burst, Instant from = Instant::min(), Instant to = Instant::max()) const
    {
        std::vector<Instant> instants;
        for (const auto& arrival : m_arrivals) {
            if (arrival.admitted && arrival.admittedAt >= from && arrival.admittedAt <= to)
                instants.push_back(arrival.admittedAt);
        }
        std::ranges::sort(instants);
        double worst = -burst;
        double lowest = std::numeric_limits<double>::infinity();
        for (size_t i = 0; i < instants.size(); ++i) {
            const double owed = rate * std::chrono::duration<double>(instants[i] - instants.front()).count();
            lowest = std::min(lowest, static_cast<double>(i) - owed);
            worst = std::max(worst, static_cast<double>(i) + 1 - owed - lowest - burst);
        }
        return worst;
    }

    // Requests that one bucket over all nodes, never paused or cut off, would have admitted.
    std::vector<bool> owed(double rate, double burst) const
    {
        std::vector<bool> admitted;
        double level = burst;
        Instant at = m_arrivals.empty() ? Instant() : m_arrivals.front().at;
        for (const auto& arrival : m_arrivals) {
            level = std::min(burst, level + rate * std::chrono::duration<double>(arrival.at - at).count());
            at = arrival.at;
            admitted.push_back(level >= 1);
            if (admitted.back())
                level -= 1;
        }
        return admitted;
    }

    // How many requests that bucket would have admitted, and how many fewer were. For an account within its rate the
    // latter are its in-rate refusals; for one beyond its rate it does not matter which of its requests are refused.
    struct InRate {
        size_t owed = 0;
        size_t refused = 0;
    };

    InRate inRate(double rate, double burst) const
    {
        const auto due = static_cast<size_t>(std::ranges::count(owed(rate, burst), true));
        return { due, due - std::min(due, admitted()) };
    }

private:
    std::vector<Arrival> m_arrivals;
};

} // namespace Vanillaridge

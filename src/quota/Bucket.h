/// The bucket in which one slot creates tokens for one account.
#pragma once

#include "quota/Strategy.h"

#include <deque>

namespace Vanillaridge {

/// How long a slot takes a token back: a request waits for a quarter of a second at most before a backend server, and
/// its refusal has to travel.
constexpr Duration tokenReturnLife = milliseconds(500);

/// What was asked for and what came of it.
struct QuotaDraw {
    double tokens { 0 };
    /// When to ask again if too little came.
    Duration retryAfter { 0 };
    /// Tokens left when too few came.
    double left { 0 };
};

/// A token bucket that is empty at first, and whose level may be in debt after a change of rate.
class Bucket {
public:
    /// Empty at `start`.
    Bucket(const QuotaPlan&, Instant start);

    /// Goes over to a changed plan. Tokens given before may still be used for a while at the old rate, so the higher
    /// rate pays for them in advance; then max(bursts) + max(rates) x t holds across the change.
    void adopt(const QuotaPlan&, Instant now);
    /// Empties the bucket if it was last touched before the instant.
    void emptyBefore(Instant);
    /// Takes up to `wanted` tokens, but none if there are fewer than `least`. Who gets too little is told a time that
    /// leaves room for those told before.
    /// \param pull names the draw, so that what it gave can be given back
    QuotaDraw draw(uint64_t pull, double wanted, double least, Instant now);
    /// Takes back tokens of a draw that were not used, less what would have overflowed if they had stayed: so the
    /// bucket never gives more than one from which they were not drawn. \param total all that have come back of this
    /// draw so far \return what the bucket has more now
    double giveBack(uint64_t pull, double total, Instant now);
    /// Whether the plan that it goes by creates tokens like this one.
    bool follows(const QuotaPlan& plan) const { return m_plan.createsLike(plan); }
    /// Tokens created since the last call.
    double takeCreated() { return std::exchange(m_created, 0); }

private:
    /// What a draw gave, while it may come back.
    struct Given {
        uint64_t pull { 0 };
        double tokens { 0 };
        double returned { 0 };
        Instant until;
        /// Highest level since the draw.
        double peak { 0 };
    };
    void refill(Instant now);

    QuotaPlan m_plan;
    double m_level { 0 };
    Instant m_at;
    /// Tokens promised to those who came in vain.
    double m_backlog { 0 };
    double m_created { 0 };
    /// Soonest to lapse first.
    std::deque<Given> m_given;
};

} // namespace Vanillaridge

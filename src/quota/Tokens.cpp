// Tokens in a pool, and the demand for them.
#include "quota/Pools.h"

#include <algorithm>
#include <cmath>

namespace Vanillaridge {

namespace {

    // Time constants of the smoothed demand.
    constexpr Duration fastSmoothing = milliseconds(500);
    constexpr Duration slowSmoothing = seconds(4);

} // namespace

void Pools::Demand::add(double requests, Instant now)
{
    if (at != Instant::min() && now > at) {
        const double step = inSeconds(now - at);
        fast *= std::exp(-step / inSeconds(fastSmoothing));
        slow *= std::exp(-step / inSeconds(slowSmoothing));
    }
    at = std::max(at, now);
    fast += requests / inSeconds(fastSmoothing);
    slow += requests / inSeconds(slowSmoothing);
}

double Pools::Pool::tokens() const
{
    double sum = 0;
    for (const auto& batch : batches)
        sum += batch.tokens;
    return sum;
}

double Pools::Pool::pulled() const
{
    double sum = 0;
    for (const auto& pull : pulls)
        sum += pull.late ? 0 : pull.wanted;
    return sum;
}

double Pools::Pool::waiting() const
{
    double sum = 0;
    for (const auto& waiter : waiters)
        sum += waiter.wanted;
    return sum;
}

void Pools::addTokens(Pool& pool, const Batch& batch)
{
    if (batch.tokens <= 0)
        return;
    const auto place = std::ranges::upper_bound(pool.batches, batch.expires, {}, &Batch::expires);
    pool.batches.insert(place, batch);
}

// Takes tokens, the soonest to expire first. Nothing if there are too few.
std::optional<Pools::Spent> Pools::spend(Pool& pool, double tokens)
{
    if (pool.batches.empty() || pool.tokens() < tokens)
        return std::nullopt;
    const auto& first = pool.batches.front();
    Spent spent { first.expires, std::nullopt, first.slot };
    if (first.tokens >= tokens && first.pull)
        spent.pull = first.pull;
    for (auto& batch : pool.batches) {
        const double part = std::min(tokens, batch.tokens);
        batch.tokens -= part;
        tokens -= part;
    }
    std::erase_if(pool.batches, [](const Batch& batch) { return batch.tokens <= 0; });
    return spent;
}

void Pools::expire(Pool& pool, Instant now)
{
    if (pool.batches.empty() || now < pool.batches.front().expires)
        return;
    const auto valid = std::ranges::upper_bound(pool.batches, now, {}, &Batch::expires);
    double lost = 0;
    for (auto batch = pool.batches.begin(); batch != valid; ++batch)
        lost += batch->tokens;
    pool.batches.erase(pool.batches.begin(), valid);
    m_board.counters().add(Counter::QuotaTokensExpired, static_cast<uint64_t>(std::llround(lost)));
}

} // namespace Vanillaridge

#include "placement/CostModel.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace Vanillaridge {

namespace {

    // Weight of a new cost in the averages; a new key averages evenly until this weight is reached.
    constexpr double costWeight = 0.05;
    // Samples from which the average of a body class is used, and that of a route in place of its service.
    constexpr double samplesNeeded = 8;
    // Deviations above the mean that few requests exceed.
    constexpr double tailDeviations = 2;
    // Cost keys that a node keeps; further ones are covered by their route and service.
    constexpr size_t costKeysKept = 4096;
    // Time constants of a server's speed: of its averages, which a server that slows down for seconds must move, and
    // after which what was recorded has lost its weight.
    constexpr double speedTimeConstant = 1.0;
    constexpr double speedMemory = 5.0;
    // Speeds are bounded: beyond that, a server has other troubles.
    constexpr double leastSpeed = 0.2;
    constexpr double greatestSpeed = 5;
    // How much longer work takes at a server that is full; many slow down when they are nearly so.
    constexpr double fullServerSlowdown = 0.25;

    // Bodies of like length: each class is four times as long as the one before. 0 if the length is not known.
    uint32_t bodyClassOf(std::optional<uint64_t> bytes)
    {
        constexpr uint64_t firstClassBytes = 1024;
        return bytes ? 1 + static_cast<uint32_t>(std::bit_width(*bytes / firstClassBytes) + 1) / 2 : 0;
    }

    void average(CostRecord& record, double cost)
    {
        record.samples += 1;
        const double weight = std::max(costWeight, 1 / record.samples);
        const double error = cost - record.mean;
        record.mean += weight * error;
        record.deviation += weight * (std::abs(error) - record.deviation);
    }

} // namespace

CostEstimate CostModel::estimate(std::string_view service, const CostTraits& traits) const
{
    // The most specific kind of request that is known well enough.
    CostEstimate estimate;
    CostKey key { ServiceName(service), {}, 0 };
    const auto take = [&](const CostRecord& record) {
        if (record.samples < samplesNeeded)
            return;
        estimate.mean = record.mean;
        estimate.tail = record.mean + tailDeviations * record.deviation;
    };
    m_board.costs().visit(key, take);
    estimate.serviceMean = estimate.mean;
    key.route = traits.route;
    m_board.costs().visit(key, take);
    key.bodyClass = bodyClassOf(traits.bodyBytes);
    if (key.bodyClass)
        m_board.costs().visit(key, take);
    return estimate;
}

void CostModel::record(std::string_view service, const CostTraits& traits, Duration took) const
{
    const auto cost = inSeconds(took);
    const auto add = [&](const CostKey& key) {
        const bool isKnown = m_board.costs().visit(key, [&](CostRecord& record) { average(record, cost); });
        if (!isKnown && m_board.costs().size() < costKeysKept)
            m_board.costs().update(key, [&](CostRecord& record) { average(record, cost); });
    };
    const ServiceName name(service);
    const RouteName route(traits.route);
    add({ name, {}, 0 });
    add({ name, route, 0 });
    if (const auto bodyClass = bodyClassOf(traits.bodyBytes))
        add({ name, route, bodyClass });
}

void recordSpeed(SpeedRecord& record, double expected, Duration took, Instant now)
{
    if (expected <= 0 || took <= Duration(0))
        return;
    const double kept = record.observed > 0 ? std::exp(-inSeconds(now - record.at) / speedTimeConstant) : 0;
    record.expected = record.expected * kept + expected;
    record.observed = record.observed * kept + inSeconds(took);
    record.at = now;
}

double speedAt(const SpeedRecord& record, Instant now)
{
    if (record.observed <= 0)
        return 1;
    const double speed = std::clamp(record.expected / record.observed, leastSpeed, greatestSpeed);
    return std::pow(speed, std::exp(-inSeconds(now - record.at) / speedMemory));
}

double completionTime(const ServerLoad& load, const CostEstimate& estimate, double cost)
{
    const double limit = std::max(1.0, load.limit);
    // Others' requests there are taken to cost what those of the service do.
    const double others = std::max(0.0, load.requests - load.ownRequests);
    const double ahead = load.ownCost + others * estimate.serviceMean;
    const double wait = std::max(0.0, ahead - (limit - 1) * estimate.serviceMean) / limit;
    const double fullness = std::min(1.0, load.requests / limit);
    return (wait + cost * (1 + fullServerSlowdown * fullness * fullness)) / load.speed;
}

} // namespace Vanillaridge

#include "node/LatencyHistogram.h"

#include <boost/histogram.hpp>

namespace Vanillaridge {

namespace {

    namespace histogram = boost::histogram;

    constexpr unsigned binCount = 40;
    constexpr double shortestMicroseconds = 20;
    constexpr double longestMicroseconds = 10'000'000;

    using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
    using Storage = histogram::dense_storage<histogram::accumulators::count<uint64_t, true>>;

    auto makeHistogram()
    {
        return histogram::make_histogram_with(Storage(), Axis(binCount, shortestMicroseconds, longestMicroseconds));
    }

    double microsecondsOf(Duration duration) { return std::chrono::duration<double, std::micro>(duration).count(); }

} // namespace

struct LatencyHistogram::Counts {
    decltype(makeHistogram()) histogram { makeHistogram() };
    std::atomic<Duration::rep> sum { 0 };
};

LatencyHistogram::LatencyHistogram()
    : m_counts(std::make_unique<Counts>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration duration)
{
    m_counts->histogram(std::max(microsecondsOf(duration), shortestMicroseconds));
    m_counts->sum.fetch_add(duration.count(), std::memory_order_relaxed);
}

std::vector<LatencyHistogram::Bin> LatencyHistogram::bins() const
{
    std::vector<Bin> bins;
    uint64_t cumulative = 0;
    for (unsigned i = 0; i < binCount; ++i) {
        cumulative += m_counts->histogram.at(static_cast<int>(i)).value();
        const auto upper = m_counts->histogram.axis().bin(static_cast<int>(i)).upper();
        bins.push_back({ microseconds(static_cast<int64_t>(upper)), cumulative });
    }
    return bins;
}

uint64_t LatencyHistogram::count() const
{
    uint64_t total = 0;
    for (auto&& bin : histogram::indexed(m_counts->histogram, histogram::coverage::all))
        total += (*bin).value();
    return total;
}

Duration LatencyHistogram::sum() const { return Duration(m_counts->sum.load(std::memory_order_relaxed)); }

} // namespace Vanillaridge

// libraries: buffers
#include "buffers/Buffers.h"

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

using namespace Vanillaridge;

namespace {

// Lowers a limit of this process for as long as it lives.
class LoweredLimit {
public:
    LoweredLimit(decltype(RLIMIT_DATA) resource, rlim_t bytes)
        : m_resource(resource)
    {
        getrlimit(m_resource, &m_before);
        const rlimit lowered { bytes, m_before.rlim_max };
        setrlimit(m_resource, &lowered);
    }
    ~LoweredLimit() { setrlimit(m_resource, &m_before); }
    LoweredLimit(const LoweredLimit&) = delete;

private:
    const decltype(RLIMIT_DATA) m_resource;
    rlimit m_before {};
};

// The bound while the process's data has a limit. Nothing else is done under it: sanitizers need more than it allows.
MemoryBound memoryWithin(rlim_t bytes, uint64_t setting)
{
    const LoweredLimit limit(RLIMIT_DATA, bytes);
    return instanceMemory(setting);
}

constexpr uint64_t gigabyte = uint64_t(1) << 30;
// Enough for this process to go on, and less than a small instance has.
constexpr uint64_t lowLimit = 128 << 20;

} // namespace

// Guards against a node that outgrows its instance, since its bound follows from the memory of a large machine.
BOOST_AUTO_TEST_SUITE(GivenTheMemoryOfAnInstance)

BOOST_AUTO_TEST_SUITE(WhenNothingTellsIt)

BOOST_AUTO_TEST_CASE(ThenItIsThatOfASmallInstance)
{
    const auto bound = instanceMemory(0);
    BOOST_TEST(bound.bytes <= defaultInstanceMemory);
    BOOST_TEST(bufferTotal(bound) <= defaultInstanceMemory / 5);
}

BOOST_AUTO_TEST_CASE(ThenALowerLimitOfTheProcessCounts)
{
    const auto bound = memoryWithin(lowLimit, 0);
    BOOST_TEST(bound.bytes == lowLimit);
    BOOST_TEST(toText(bound.source) == "data-limit");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheSettingsTellIt)

BOOST_AUTO_TEST_CASE(ThenItIsAsTheySay)
{
    const auto bound = instanceMemory(lowLimit);
    BOOST_TEST(bound.bytes == lowLimit);
    BOOST_TEST(toText(bound.source) == "setting");
}

BOOST_AUTO_TEST_CASE(ThenALowerLimitOfTheProcessCounts)
{
    BOOST_TEST(memoryWithin(lowLimit, gigabyte).bytes == lowLimit);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

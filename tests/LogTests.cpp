// libraries: log
#include "log/LogWriter.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace Vanillaridge;

namespace {

// A pipe whose reader is the test.
struct Pipe {
    Pipe() { BOOST_REQUIRE(::pipe(ends.data()) == 0); }
    ~Pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string read() const
    {
        std::array<char, 65536> bytes;
        const auto count = ::read(ends[0], bytes.data(), bytes.size());
        return { bytes.data(), count > 0 ? static_cast<size_t>(count) : 0 };
    }

    // Reads until the text has come.
    std::string readUntil(std::string_view end) const
    {
        std::string text;
        while (text.find(end) == std::string::npos)
            text += read();
        return text;
    }

    std::array<int, 2> ends {};
};

const std::string line(1000, 'x');

} // namespace

BOOST_AUTO_TEST_SUITE(GivenAReaderThatReads)

BOOST_AUTO_TEST_CASE(ThenLinesComeWholeAndInOrder)
{
    const Pipe pipe;
    LogWriter writer(pipe.ends[1]);
    BOOST_TEST(writer.put(LogClass::Belief, "first\n"));
    BOOST_TEST(writer.put(LogClass::Routine, "second\n"));
    BOOST_TEST(pipe.readUntil("second\n") == "first\nsecond\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenAReaderThatDoesNotRead)

struct Blocked {
    Blocked()
        : writer(pipe.ends[1])
    {
        while (writer.put(LogClass::Routine, line))
            ++routineTaken;
    }

    Pipe pipe;
    size_t routineTaken = 0;
    LogWriter writer;
};

BOOST_FIXTURE_TEST_CASE(ThenNobodyWaitsAndTheBufferStaysBounded, Blocked)
{
    BOOST_TEST(routineTaken > 0u);
    BOOST_TEST(routineTaken * line.size() <= LogWriter::capacity);
    BOOST_TEST(writer.dropped()[static_cast<size_t>(LogClass::Routine)] == 1u);
}

BOOST_FIXTURE_TEST_CASE(ThenThereIsRoomForWhatMattersMore, Blocked)
{
    BOOST_TEST(writer.put(LogClass::Failure, line));
    while (writer.put(LogClass::Failure, line)) { }
    BOOST_TEST(writer.put(LogClass::Belief, line));
}

BOOST_FIXTURE_TEST_CASE(ThenWhatWasDroppedIsToldOnceItReadsAgain, Blocked)
{
    while (writer.put(LogClass::Failure, line)) { }
    const auto text = pipe.readUntil("event=log-lines-dropped");
    BOOST_TEST(text.find("event=log-lines-dropped") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(ThenTheProcessEndsAllTheSame, Blocked) { BOOST_TEST(writer.put(LogClass::Belief, line)); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(GivenManyRequests)

BOOST_AUTO_TEST_CASE(ThenRoutineOnesAreSampledByTheirLabelAlike)
{
    setLogLimits({ 1'000'000, 16 });
    size_t wanted = 0;
    for (int i = 0; i < 1600; ++i) {
        const auto label = "request-" + std::to_string(i);
        const bool first = wantsRequestLine(LogClass::Routine, label);
        BOOST_TEST(first == wantsRequestLine(LogClass::Routine, label));
        wanted += first;
    }
    BOOST_TEST(wanted > 50u);
    BOOST_TEST(wanted < 200u);
}

BOOST_AUTO_TEST_CASE(ThenFailuresAreBoundedInNumberAndTheRestIsCounted)
{
    setLogLimits({ 0, 16 });
    const auto before = suppressedRequestLines();
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(!wantsRequestLine(LogClass::Failure, "request"));
    BOOST_TEST(suppressedRequestLines() - before == 10u);
}

BOOST_AUTO_TEST_SUITE_END()

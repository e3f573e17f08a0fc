// libraries: admission placement retry
#include "admission/Admission.h"
#include "placement/Placement.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <new>

using namespace Vanillaridge;

// Bounds on the cost of a decision in allocations, which are the same on every machine. bench/AdmissionBench.cpp
// measures times.

namespace {

std::atomic<uint64_t> allocations { 0 };

} // namespace

[[gnu::noinline]] void* operator new(size_t size)
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void* memory) noexcept { std::free(memory); }
[[gnu::noinline]] void operator delete(void* memory, size_t) noexcept { std::free(memory); }

namespace {

constexpr int requests = 2000;

// A node that guards one backend server and knows eight peers that serve the same service.
struct BusyNode {
    BusyNode()
        : random(makeSeededRandom(1))
        , board({ "127.0.0.1:7000", "zone-0", { 1 }, { 1 } })
        , admission(board, clock, *random)
        , placement(board, clock, *random)
    {
        for (uint64_t i = 1; i <= 8; ++i) {
            board.members().update({ i }, [](MemberRecord& member) {
                member.said.endpoint = "127.0.0.1:8000";
                member.said.servers = { { "history", 1, 100, false } };
            });
        }
        placement.refresh();
        board.localServers().update("history", [](LocalServerRecord& server) {
            server.announcement = { "history", 1, 100, false };
        });
    }

    // Allocations per request, not counting a first request that creates the tables.
    template <typename Step> double allocationsPer(Step&& step)
    {
        RequestContext context { {}, "owner", "look-up", "history" };
        step(context);
        const auto before = allocations.load();
        for (int i = 0; i < requests; ++i) {
            ++context.attempt.request.sequence;
            step(context);
        }
        return double(allocations.load() - before) / requests;
    }

    ManualClock clock;
    std::unique_ptr<RandomSource> random;
    Board board;
    Admission admission;
    Placement placement;
};

} // namespace

BOOST_AUTO_TEST_SUITE(GivenABusyNode)

BOOST_AUTO_TEST_CASE(ThenTheGuardAllocatesOneTicketForEachRequest)
{
    BusyNode node;
    const double count = node.allocationsPer([&](RequestContext& context) {
        node.admission.offer(context, node.clock.now() + seconds(1));
        node.admission.finished(context.service, context.attempt, CompletionStatus::Served);
        node.admission.feedback(context);
    });
    BOOST_TEST(count <= 1.1);
}

BOOST_AUTO_TEST_CASE(ThenEntryAllocatesLittleForEachChoice)
{
    BusyNode node;
    const LoadFeedback feedback { .service = "history", .limit = 100 };
    const double count = node.allocationsPer([&](RequestContext& context) {
        node.placement.shedAtEntry(context);
        const auto choice = node.placement.choose(context.service, {});
        node.placement.callStarted(*choice);
        node.placement.callCompleted(*choice, { context, {}, Reason::None, &feedback, {} });
    });
    BOOST_TEST(count <= 5.1);
}

BOOST_AUTO_TEST_SUITE_END()

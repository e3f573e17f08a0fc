// libraries: admission placement retry
#include "admission/Admission.h"
#include "placement/Placement.h"
#include "retry/Retry.h"

#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>

using namespace Vanillaridge;

// --- Allocations --------------------------------------------------------------------------------------------------

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

constexpr uint32_t serversPerService = 8;
constexpr uint32_t slots = 1000;

// A node with one local backend server, that knows servers of as many services as asked, and sees requests of as many
// accounts.
struct BusyNode {
    BusyNode(uint32_t accounts, uint32_t services)
        : random(makeSeededRandom(1))
        , board({ "127.0.0.1:7000", "zone-0", { 1 }, { 1 } })
        , admission(board, clock, *random)
        , placement(board, clock, *random)
        , retry(board, clock, *random)
        , accounts(accounts)
        , services(services)
    {
        Declarations declarations;
        for (uint32_t i = 0; i < services; ++i)
            declarations.services.push_back({ .name = service(i), .slots = slots, .slowStart = Duration(0) });
        board.configuration().adopt(std::make_shared<const Configuration>(1, std::move(declarations)));
        for (uint32_t i = 0; i < services * serversPerService; ++i) {
            board.members().update({ i + 1 }, [&](MemberRecord& member) {
                member.said.endpoint = "127.0.0.1:8000";
                member.said.zone = "zone-" + std::to_string(i % 4);
                member.said.servers = { { service(i % services), 1, slots, false } };
            });
        }
        placement.refresh();
        board.localServers().update(service(0), [&](LocalServerRecord& server) {
            server.announcement = { service(0), 1, slots, false };
        });
    }

    static ServiceName service(uint32_t index) { return "service-" + std::to_string(index); }

    RequestContext context(uint32_t thread, uint64_t sequence, uint32_t ofService) const
    {
        RequestContext context;
        context.attempt.request = { { 1 }, { thread + 1 }, sequence };
        context.account = "account-" + std::to_string(sequence % accounts);
        context.service = service(ofService);
        context.route = "route-" + std::to_string(ofService);
        context.rank = Rank::of(Importance(sequence % importanceCount));
        context.treeHash = mixHash(sequence, thread);
        context.retriesLeft = 3;
        return context;
    }

    SystemClock clock;
    std::unique_ptr<RandomSource> random;
    Board board;
    Admission admission;
    Placement placement;
    Retry retry;
    uint32_t accounts;
    uint32_t services;
};

std::unique_ptr<BusyNode> node;

void setUp(const benchmark::State& state)
{
    node = std::make_unique<BusyNode>(uint32_t(state.range(0)), uint32_t(state.range(1)));
}

void tearDown(const benchmark::State&) { node.reset(); }

// Runs `step` on a new request each time, and counts allocations for each, those of making the request left out.
template <typename Step> void run(benchmark::State& state, Step&& step)
{
    constexpr size_t prepared = 4096;
    std::vector<RequestContext> contexts;
    const auto thread = uint32_t(state.thread_index());
    for (size_t i = 0; i < prepared; ++i)
        contexts.push_back(node->context(thread, i, uint32_t(i) % node->services));
    const auto before = allocations.load();
    size_t next = 0;
    for (auto _ : state)
        step(contexts[next++ % prepared]);
    if (state.thread_index() == 0) {
        const auto total = double(allocations.load() - before);
        state.counters["allocations"] = total / double(state.iterations() * uint64_t(state.threads()));
    }
}

void guardPath(RequestContext& context)
{
    context.service = "service-0";
    const auto decision = node->admission.offer(context, node->clock.now() + seconds(1));
    if (decision.verdict == AdmissionVerdict::Admitted)
        node->admission.finished(context.service, context.attempt, CompletionStatus::Served);
    benchmark::DoNotOptimize(node->admission.feedback(context));
}

void entryPath(RequestContext& context)
{
    if (node->placement.shedAtEntry(context))
        return;
    node->retry.countFirstAttempt(context.service);
    const auto choice = node->placement.choose(context.service, {});
    node->placement.callStarted(*choice);
    const LoadFeedback feedback { .service = context.service, .running = 1, .limit = slots };
    node->placement.callCompleted(*choice, { context, {}, Reason::None, &feedback, microseconds(100) });
}

void guard(benchmark::State& state) { run(state, guardPath); }

void entry(benchmark::State& state) { run(state, entryPath); }

void wholePath(benchmark::State& state)
{
    run(state, [](RequestContext& context) {
        entryPath(context);
        guardPath(context);
    });
}

void settle(benchmark::State& state)
{
    run(state, [](RequestContext&) { benchmark::DoNotOptimize(node->admission.processQueues()); });
}

void retryDecision(benchmark::State& state)
{
    run(state, [](RequestContext& context) {
        const auto id = context.attempt.request;
        node->board.entries().update(id, [&](EntryRecord& record) { record.context.retriesLeft = 3; });
        benchmark::DoNotOptimize(node->retry.acquireRetry(id, context.service, Reason::PeerUnreachable));
        node->board.entries().erase(id);
    });
}

void sizes(benchmark::internal::Benchmark* benchmark)
{
    benchmark->Setup(setUp)->Teardown(tearDown)->UseRealTime()->MinTime(0.2);
    for (const int accounts : { 8, 10000 }) {
        for (const int services : { 10, 260 })
            benchmark->Args({ accounts, services });
    }
}

BENCHMARK(guard)->Apply(sizes)->Threads(1)->Threads(4)->Threads(8);
BENCHMARK(entry)->Apply(sizes)->Threads(1)->Threads(4)->Threads(8);
BENCHMARK(wholePath)->Apply(sizes)->Threads(1)->Threads(4)->Threads(8);
BENCHMARK(settle)->Apply(sizes);
BENCHMARK(retryDecision)->Apply(sizes)->Threads(1)->Threads(4)->Threads(8);

} // namespace

BENCHMARK_MAIN();

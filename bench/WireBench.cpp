// libraries: wire
#include "wire/Wire.h"

#include <benchmark/benchmark.h>

using namespace Vanillaridge;

namespace {

const Hello alice { "127.0.0.1:7000", { 11 }, { 1 }, protocolVersion };
const Hello bob { "127.0.0.1:7001", { 22 }, { 2 }, protocolVersion };

// A request with the headers of an ordinary caller.
OpenRequest ordinaryRequest()
{
    OpenRequest open { { { { { 1 }, { 2 }, 3 }, 1 }, "inspectors-north", "reports", "ride-records",
                           Rank::of(Importance::Normal), true, seconds(5), 2, 1, 8 },
        { 22 }, "GET", "/reports/4711", {}, false, seconds(9) };
    for (int i = 0; i < 8; ++i)
        open.headers.push_back({ "x-header-name", "a value of thirty-two characters" });
    return open;
}

std::span<const std::byte, frameHeaderSize> headerOf(std::string_view frame)
{
    return bytesOf(frame).first<frameHeaderSize>();
}

// Seals on one end and opens on the other, as two nodes do for each frame.
void sealAndOpen(benchmark::State& state, const StreamMessage& message)
{
    const Authenticator secret("a shared secret");
    auto sender = secret.session(alice, bob).value();
    auto receiver = secret.session(bob, alice).value();
    std::string out;
    for (auto _ : state) {
        out.clear();
        (void)sender.seal(out, 1, message);
        auto frame = receiver.open(headerOf(out), bytesOf(out).subspan(frameHeaderSize));
        benchmark::DoNotOptimize(frame);
    }
    state.SetBytesProcessed(static_cast<int64_t>(state.iterations() * out.size()));
}

void sealAndOpenRequest(benchmark::State& state) { sealAndOpen(state, ordinaryRequest()); }
BENCHMARK(sealAndOpenRequest);

void sealAndOpenBody(benchmark::State& state)
{
    sealAndOpen(state, BodyChunk { std::string(static_cast<size_t>(state.range(0)), 'x'), false });
}
BENCHMARK(sealAndOpenBody)->Arg(1 << 10)->Arg(1 << 16);

void encodeAndDecodeRequest(benchmark::State& state)
{
    const StreamMessage message = ordinaryRequest();
    std::string out;
    for (auto _ : state) {
        out.clear();
        encodeFrame(out, 1, message);
        auto frame = decodeFrame(bytesOf(out));
        benchmark::DoNotOptimize(frame);
    }
}
BENCHMARK(encodeAndDecodeRequest);

void sealAndOpenDatagram(benchmark::State& state)
{
    const Authenticator secret("a shared secret");
    Probe probe;
    probe.updates.resize(
        6, { "127.0.0.1:7000", "zone-a", { 1 }, 1, { 1 }, MemberState::Alive, { { "s", 1, 8, false } }, {} });
    const Datagram datagram { alice.endpoint, alice.boot, seconds(1), ControlMessage(probe) };
    for (auto _ : state) {
        const auto bytes = secret.seal(datagram, bob.endpoint).value();
        auto read = secret.open(bytesOf(bytes), bob.endpoint);
        benchmark::DoNotOptimize(read);
    }
}
BENCHMARK(sealAndOpenDatagram);

// Refusing what is malformed must not cost more than reading what is right.
void refuseTruncatedRequest(benchmark::State& state)
{
    const auto bytes = encodeFrame(1, ordinaryRequest());
    for (auto _ : state) {
        auto frame = decodeFrame(bytesOf(bytes).first(bytes.size() - 1));
        benchmark::DoNotOptimize(frame);
    }
}
BENCHMARK(refuseTruncatedRequest);

} // namespace

BENCHMARK_MAIN();

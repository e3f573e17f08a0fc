// A server leaves, its node is restarted, and a heartbeat from before the leaving arrives late.
#include "Case.h"

using namespace Review;

namespace {

// Of the sheets: "drain-ms" and "stable-window-ms".
constexpr int64_t drainMilliseconds = 2000;
constexpr int64_t stableMilliseconds = 3000;
// How late the heartbeat is.
constexpr int64_t late = 4000;

void play()
{
    // 1. Two servers of one service, beside nodes of their own, and a node where callers are.
    Node entry("zone-a", "certs", 2);
    Node leaving("zone-b", "reports", 3);
    Node staying("zone-b", "reports", 4);
    putConfiguration(configuration(1, { route("r-report", "/report/", "reports", "idempotent") },
        { "reports", "certs" }, { tenant("north", { "example-key-of-a-tenant" }) }));
    for (auto* node : { &entry, &leaving, &staying })
        node->start();
    Server first("reports", "i-first", leaving.application(), leaving.zone(), leaving.control());
    Server second("reports", "i-second", staying.application(), staying.zone(), staying.control());
    for (auto* server : { &first, &second }) {
        server->start();
        server->startBeating();
    }
    for (auto* node : { &entry, &leaving, &staying })
        node->awaitReady();
    std::this_thread::sleep_for(milliseconds(5000));

    // 2. Callers, all along.
    std::atomic<bool> over { false };
    std::thread callers([&] {
        for (int number = 0; !over; ++number) {
            ask(entry.outbound(), { .id = "report-" + std::to_string(number), .path = "/report/1" });
            std::this_thread::sleep_for(milliseconds(50));
        }
    });
    std::this_thread::sleep_for(milliseconds(1000));

    // 3. A heartbeat is sent and held up; the server then leaves, and is told that this is known.
    first.stopBeating();
    const auto heldUp = first.nextBeat("ready");
    const auto sentAt = sinceStart();
    if (hasTrouble())
        record("heartbeat of i-first with state ready leaves the server and is held up");
    else
        require(first.sendBeat(heldUp), "the heartbeat is not acknowledged");
    std::this_thread::sleep_for(milliseconds(300));
    require(first.deregister(), "the farewell is not acknowledged");
    const auto acknowledgedAt = sinceStart();
    record("farewell of i-first acknowledged by node-3");

    // 4. The node is stopped and started again on its own; the server goes on serving for a while.
    if (hasTrouble()) {
        std::this_thread::sleep_for(milliseconds(500));
        leaving.restart();
    }
    const auto restartedAt = sinceStart();
    leaving.awaitReady();
    sleepUntil(sentAt + late);
    if (hasTrouble())
        record(std::string("the heartbeat that was held up arrives at node-3: ")
            + (first.sendBeat(heldUp) ? "200" : "not acknowledged"));
    std::this_thread::sleep_for(milliseconds(8000));
    over = true;
    callers.join();

    // 5. What reached the server after the bound, once its node is in touch again.
    int early = 0;
    int64_t firstLate = 0;
    int count = 0;
    for (const auto& run : first.runs()) {
        early += run.at < acknowledgedAt;
        if (run.at <= acknowledgedAt + drainMilliseconds || run.at < restartedAt + stableMilliseconds)
            continue;
        firstLate = firstLate ? firstLate : run.at;
        ++count;
    }
    require(early > 5, "the server got nothing before it left");
    if (count)
        broken("DRAIN: " + std::to_string(count) + " requests reached i-first, the first of them "
            + std::to_string(firstLate - acknowledgedAt) + " ms after the acknowledgement and "
            + std::to_string(firstLate - restartedAt) + " ms after the start of its node");
}

} // namespace

int main(int argumentCount, char** arguments) { return runCase(argumentCount, arguments, play); }

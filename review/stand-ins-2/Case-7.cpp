// A server leaves while the store is silent for a second. Later its node is killed and started again, and one of the
// server's earlier heartbeats arrives late. Usage: case-7 RECORD STORE-PROGRAM, in the repository's root.
#include "World.h"

using namespace Review;

namespace {

constexpr int64_t drainTime = 2000;
constexpr int64_t stableWindow = 3000;
// How late the heartbeat comes, how long the store is silent, and how long it is sound before the node is killed.
constexpr int64_t lateness = 3500;
constexpr int64_t outage = 1000;
constexpr int64_t soundBeforeKill = 1000;
// For how long the server goes on serving after its leaving was acknowledged.
constexpr int64_t servesOn = 12000;

int play(const std::string& recordPath, const std::string& storeProgram)
{
    World world(recordPath, storeProgram);
    auto& record = world.record;
    Node first(world, 1, "orders");
    Node second(world, 2, "orders");
    std::atomic<int64_t> acknowledgedAt { -1 };
    std::atomic<int64_t> inTouchFrom { -1 };
    std::atomic<int> atLeaving { 0 };
    std::atomic<int> broken { 0 };

    // 1. Two machines with a server each.
    BackendServer leaving(world, 1, "orders", "i-leaving", [&](const Message&) -> std::optional<std::string> {
        ++atLeaving;
        const auto now = record.now();
        if (acknowledgedAt >= 0 && inTouchFrom >= 0 && now > acknowledgedAt + drainTime && now > inTouchFrom)
            ++broken;
        sleepFor(5);
        return std::string("done");
    });
    BackendServer staying(world, 2, "orders", "i-staying", [&](const Message&) -> std::optional<std::string> {
        sleepFor(5);
        return std::string("done");
    });
    const auto configuration
        = configurationText(1, { routeText("orders", "idempotent", "orders", 2000, false) }, { serviceText("orders") });
    if (!leaving.listens() || !staying.listens() || !world.storeIsUp()
        || !world.create("config", "main", configuration))
        return CouldNotRun;
    first.start();
    second.start();
    leaving.startBeating();
    staying.startBeating();
    if (!first.becomesReady(15000) || !second.becomesReady(15000))
        return CouldNotRun;
    sleepFor(4000);

    // 2. A client of the second machine, which nothing happens to.
    std::atomic<bool> going { true };
    std::thread client([&] {
        for (int i = 0; going; ++i) {
            const auto id = "read-" + std::to_string(i);
            const auto answer
                = ask(second.ip, portOfCallers, "GET", "/orders/list", requestHeaders(id, 1500, true), {}, 2000);
            if (answer.status != 200)
                record.line(id + " is answered with " + std::to_string(answer.status));
            sleepFor(50);
        }
    });
    const auto endClient = [&] {
        going = false;
        client.join();
    };
    sleepFor(1000);
    if (!atLeaving) {
        endClient();
        return CouldNotRun;
    }

    // 3. The store falls silent. A heartbeat is sent and held up on its way; then the server leaves.
    const auto silentFrom = record.now();
    if (!isCalm())
        world.setStore("hang");
    leaving.stopBeating();
    const auto heldUp = leaving.beatText(leaving.nextSequence(), "ready");
    const auto sentAt = record.now();
    record.line("server i-leaving sends a heartbeat, which is held up");
    sleepFor(100);
    const int left = leaving.deregister();
    record.line("its deregister is answered with " + std::to_string(left));
    if (left != 200) {
        endClient();
        return CouldNotRun;
    }
    acknowledgedAt = record.now();

    // 4. The store is sound again. A second later the node is killed, and started again.
    sleepFor(std::max<int64_t>(0, silentFrom + outage - record.now()));
    if (!isCalm())
        world.setStore("no");
    sleepFor(soundBeforeKill);
    if (!isCalm()) {
        record.line("SIGKILL to the node of machine 1");
        first.process->signal(SIGKILL);
        first.process->waitFor(2000);
        sleepFor(500);
        first.start();
    }
    inTouchFrom = record.now() + stableWindow;
    sleepFor(std::max<int64_t>(0, sentAt + lateness - record.now()));
    record.line("the heartbeat arrives, " + std::to_string(record.now() - sentAt) + " ms late, and is answered with "
        + std::to_string(leaving.sendBeat(heldUp)));

    // 5. The server serves on, and ends.
    sleepFor(std::max<int64_t>(0, acknowledgedAt + servesOn - record.now()));
    endClient();
    record.line("requests that reached the leaving server over " + std::to_string(drainTime)
        + " ms after the acknowledgement, from " + std::to_string(stableWindow)
        + " ms after the trouble on: " + std::to_string(broken.load()));
    record.line(broken ? "DRAIN: a server that has left, as its node acknowledged, gets new work" : "the rule held");
    return broken ? Broken : Held;
}

} // namespace

int main(int count, char** arguments) { return count < 3 ? CouldNotRun : play(arguments[1], arguments[2]); }

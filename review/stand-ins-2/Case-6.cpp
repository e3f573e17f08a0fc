// A node is stopped as planned while the server beside it works on a request. That request makes a call through the
// node more than 3 s after the SIGTERM. Usage: case-6 RECORD STORE-PROGRAM, in the repository's root.
#include "World.h"

using namespace Review;

namespace {

constexpr int64_t grace = 6000;
// Work of the request before its call, and of the call.
constexpr int64_t workBeforeCall = 3500;
constexpr int64_t workOfCall = 2200;
constexpr int64_t deadline = 6000;

struct Call {
    int64_t sentAt { 0 };
    int64_t endedAt { 0 };
    Outcome outcome;
};

int play(const std::string& recordPath, const std::string& storeProgram)
{
    World world(recordPath, storeProgram);
    auto& record = world.record;
    Node stopped(world, 1, "orders");
    Node other(world, 2, "stock");
    std::mutex lock;
    std::vector<Call> calls;
    std::atomic<int> reachedStock { 0 };

    // 1. Two machines, each with its server. The first one's calls the second one's, through its own node.
    BackendServer orders(world, 1, "orders", "i-orders", [&](const Message& request) -> std::optional<std::string> {
        sleepFor(workBeforeCall);
        const auto id = request.header("request-id") + ".1";
        Call call;
        call.sentAt = record.now();
        const int64_t left = deadline - workBeforeCall - 50;
        record.line("server i-orders sends its call " + id);
        call.outcome = ask(stopped.ip, portOfCallers, "GET", "/stock/item", requestHeaders(id, left, false), {}, left);
        call.endedAt = record.now();
        record.line("call " + id
            + (call.outcome.status           ? " is answered with " + std::to_string(call.outcome.status)
                    : call.outcome.cut       ? ": the connection ends without an answer"
                    : call.outcome.connected ? ": no answer in its time"
                                             : ": no connection"));
        const std::lock_guard guard(lock);
        calls.push_back(call);
        return std::string(call.outcome.status == 200 ? "ordered" : "not ordered");
    });
    BackendServer stock(world, 2, "stock", "i-stock", [&](const Message&) -> std::optional<std::string> {
        ++reachedStock;
        sleepFor(workOfCall);
        return std::string("in stock");
    });
    const auto configuration = configurationText(1,
        { routeText("orders", "non_idempotent", "orders", 6000, false),
            routeText("stock", "idempotent", "stock", 6000, true) },
        { serviceText("orders"), serviceText("stock") });
    if (!orders.listens() || !stock.listens() || !world.storeIsUp() || !world.create("config", "main", configuration))
        return CouldNotRun;
    stopped.start();
    other.start();
    orders.startBeating();
    stock.startBeating();
    if (!stopped.becomesReady(15000) || !other.becomesReady(15000))
        return CouldNotRun;
    sleepFor(4000);

    // 2. A client's request at the second machine, which runs at the first one.
    std::thread client([&] {
        record.line("a client sends order-1 to machine 2");
        const auto answer = ask(
            other.ip, portOfCallers, "POST", "/orders/new", requestHeaders("order-1", deadline, true), "x", deadline);
        record.line("the client has " + (answer.status ? std::to_string(answer.status) : std::string("no answer")));
    });
    sleepFor(100);
    const auto stoppedAt = record.now();
    if (!isCalm()) {
        record.line("SIGTERM to the node of machine 1; its server goes on");
        stopped.process->signal(SIGTERM);
        stopped.process->waitFor(grace);
        record.line("the node of machine 1 " + stopped.process->end() + ", " + std::to_string(record.now() - stoppedAt)
            + " ms after the SIGTERM");
    }
    client.join();
    if (calls.empty() || !calls.front().outcome.connected)
        return CouldNotRun;

    // 3. The rule: a whole request, sent later than 3 s after the SIGTERM and passed on, whose connection ends without
    // an answer until 1 s after the grace.
    const auto& call = calls.front();
    const bool isLate = call.sentAt - stoppedAt > 3000;
    const bool isInTime = call.endedAt - call.sentAt < deadline - workBeforeCall - 100;
    const bool broken = !isCalm() && call.outcome.cut && reachedStock && isLate && isInTime
        && call.endedAt - stoppedAt <= grace + 1000;
    record.line(broken ? "LOST: a call that was passed on to a server, and sent "
                + std::to_string(call.sentAt - stoppedAt) + " ms after the SIGTERM, is cut off"
                       : "the rule held");
    return broken ? Broken : call.outcome.status == 0 ? CouldNotRun : Held;
}

} // namespace

int main(int count, char** arguments) { return count < 3 ? CouldNotRun : play(arguments[1], arguments[2]); }

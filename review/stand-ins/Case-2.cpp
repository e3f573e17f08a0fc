// A planned stop of a node, with requests under way that end well before the grace is over.
#include "Case.h"

#include <csignal>

using namespace Review;

namespace {

// Of the sheet of the large deployment: "grace-s" 10, certificates within 5,006 ms and up to 3,800 ms of work.
constexpr int64_t graceMilliseconds = 10'000;
constexpr int deadline = 5006;
constexpr int64_t work = 3700;
// The rule leaves out what was sent no later than this after SIGTERM, if it still ran in the last sixth of the grace.
constexpr int64_t leftOutUntil = 3000;
// A node that is not ready gets no new work after two misses, one second apart.
constexpr int64_t lastRequest = 2000;

struct Sent {
    Request request;
    int64_t at { 0 };
    Answer answer;
    int64_t endedAt { 0 };
};

void play()
{
    // 1. Two nodes: callers at the one, the server of certificates beside the other.
    Node stopping("zone-a", "reports", 2);
    Node staying("zone-b", "certs", 3);
    putConfiguration(configuration(1, { route("r-sign", "/sign/", "certs", "non_idempotent", 5100) },
        { "certs", "reports" }, { tenant("north", { "example-key-of-a-tenant" }) }));
    for (auto* node : { &stopping, &staying })
        node->start();
    Server certs("certs", "i-certs", staying.application(), staying.zone(), staying.control());
    certs.onRequest([](Server& server, Connection& connection, Message message) {
        connection.readBody(message, milliseconds(5000));
        if (!message.whole)
            return false;
        server.noteRun(message);
        std::this_thread::sleep_for(milliseconds(work));
        return server.answer(connection, message);
    });
    certs.start();
    certs.startBeating();
    for (auto* node : { &stopping, &staying })
        node->awaitReady();
    std::this_thread::sleep_for(milliseconds(4000));

    // 2. The stop, and requests before and after it, for as long as clients may send new work.
    const auto stoppedAt = sinceStart() + 1000;
    std::mutex lock;
    std::vector<Sent> all;
    std::vector<std::thread> callers;
    for (int64_t at = -800; at <= lastRequest; at += 200) {
        callers.emplace_back([&, at] {
            sleepUntil(stoppedAt + at);
            Sent sent;
            sent.request = { .id = "sign-" + std::to_string(at + 800),
                .method = "POST",
                .path = "/sign/1",
                .body = "certificate",
                .deadline = deadline };
            sent.at = sinceStart();
            sent.answer = ask(stopping.outbound(), sent.request);
            sent.endedAt = sinceStart();
            std::lock_guard guard(lock);
            all.push_back(std::move(sent));
        });
    }
    sleepUntil(stoppedAt);
    if (hasTrouble())
        stopping.signal(SIGTERM);
    for (auto& caller : callers)
        caller.join();
    if (hasTrouble())
        record(stopping.awaitEnd(milliseconds(graceMilliseconds)) ? "the node has ended" : "the node goes on");

    // 3. What was passed on and got no answer, though its server was done in time.
    std::map<std::string, int64_t> runs;
    for (const auto& run : certs.runs())
        runs[run.id] = run.at;
    size_t served = 0;
    for (const auto& sent : all) {
        served += sent.answer.status == 200;
        const auto run = runs.find(sent.request.id);
        if (sent.answer.status || run == runs.end())
            continue;
        const auto sentAfter = sent.at - stoppedAt;
        const auto doneAfter = run->second + work - stoppedAt;
        const bool isLeftOut = sentAfter <= leftOutUntil && doneAfter >= graceMilliseconds * 5 / 6;
        if (!isLeftOut && sent.endedAt <= stoppedAt + graceMilliseconds + 1000)
            broken("LOST: " + sent.request.id + ", sent " + std::to_string(sentAfter)
                + " ms after SIGTERM and run by i-certs, ended without an answer at "
                + std::to_string(sent.endedAt - stoppedAt) + " ms; its server was done at " + std::to_string(doneAfter)
                + " ms of a grace of " + std::to_string(graceMilliseconds));
    }
    record("served " + std::to_string(served) + " of " + std::to_string(all.size()));
    require(served > 5, "hardly anything was served");
}

} // namespace

int main(int argumentCount, char** arguments) { return runCase(argumentCount, arguments, play); }

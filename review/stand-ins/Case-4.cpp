// Most machines of a deployment are lost at once and for good; later a route is dropped.
#include "Case.h"

#include <algorithm>
#include <csignal>

using namespace Review;

namespace {

constexpr int nodes = 8;
// Of the sheets: "config-apply-ms" and "max-stretch-ms".
constexpr int64_t applyMilliseconds = 2000;
constexpr int64_t stretchMilliseconds = 5000;

// Calls to the store that a node has counted.
double storeCalls(const Node& node)
{
    const auto page = node.page("/metrics");
    const std::string name = "vanillaridge_store_calls";
    for (size_t at = page.find(name); at != std::string::npos; at = page.find(name, at + 1)) {
        if (at && page[at - 1] != '\n')
            continue;
        const auto line = page.substr(at, page.find('\n', at) - at);
        return std::atof(line.substr(line.rfind(' ') + 1).c_str());
    }
    require(false, "a node does not tell its calls to the store");
    return 0;
}

// The node that asks the store least: the others hear of changes from those that watch it.
size_t quietest(const std::vector<std::unique_ptr<Node>>& fleet)
{
    std::vector<double> calls;
    for (const auto& node : fleet)
        calls.push_back(storeCalls(*node));
    std::this_thread::sleep_for(milliseconds(6000));
    for (size_t i = 0; i < fleet.size(); ++i) {
        calls[i] = storeCalls(*fleet[i]) - calls[i];
        record("node-" + std::to_string(2 + i) + " has made " + std::to_string(static_cast<int>(calls[i]))
            + " calls to the store in 6 s");
    }
    return static_cast<size_t>(std::min_element(calls.begin(), calls.end()) - calls.begin());
}

void play()
{
    // 1. Eight nodes of one zone, each beside a server of the one service, and a public route beside a keyed one.
    std::vector<std::unique_ptr<Node>> fleet;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < nodes; ++i)
        fleet.push_back(std::make_unique<Node>("zone-a", "reports", 2 + i));
    const auto keyed = route("r-report", "/report/", "reports", "idempotent");
    const auto open = route("r-open", "/open/", "reports", "idempotent", 6000, 2, true);
    const auto version = [&](int number, const std::vector<std::string>& routes) {
        return configuration(number, routes, { "reports" }, { tenant("north", { "example-key-of-a-tenant" }) });
    };
    putConfiguration(version(1, { keyed, open }));
    for (auto& node : fleet) {
        node->start();
        servers.push_back(std::make_unique<Server>(
            "reports", "i-" + std::to_string(servers.size()), node->application(), node->zone(), node->control()));
        servers.back()->start();
        servers.back()->startBeating();
    }
    for (auto& node : fleet)
        node->awaitReady();
    std::this_thread::sleep_for(milliseconds(6000));
    const auto left = quietest(fleet);
    const auto& survivor = *fleet[left];
    const auto askOpen = [&](const std::string& name) {
        return ask(survivor.outbound(), { .id = name, .path = "/open/1", .deadline = 2000, .key = "" });
    };
    for (int i = 0; i < 10; ++i)
        require(askOpen("before-" + std::to_string(i)).status == 200, "the public route is not served");

    // 2. All others are lost, with their servers.
    if (hasTrouble()) {
        for (size_t i = 0; i < fleet.size(); ++i) {
            if (i != left)
                fleet[i]->signal(SIGKILL);
        }
        for (size_t i = 0; i < servers.size(); ++i) {
            if (i == left)
                continue;
            servers[i]->stop();
            require(fleet[i]->awaitEnd(milliseconds(5000)), "a node does not end");
        }
    }
    std::this_thread::sleep_for(milliseconds(12'000));

    // 3. The public route is dropped. The store has been well all along.
    const auto acknowledged = putConfiguration(version(2, { keyed }));

    // 4. Long after the bound it must not be served.
    sleepUntil(acknowledged + applyMilliseconds + stretchMilliseconds);
    int count = 0;
    int64_t last = 0;
    for (int number = 0; sinceStart() < acknowledged + 40'000; ++number) {
        const auto at = sinceStart();
        if (askOpen("after-" + std::to_string(number)).status == 200) {
            ++count;
            last = at - acknowledged;
        }
        ask(survivor.outbound(), { .id = "keyed-" + std::to_string(number), .path = "/report/1", .deadline = 2000 });
        std::this_thread::sleep_for(milliseconds(1000));
    }
    size_t runs = 0;
    for (const auto& run : servers[left]->runs())
        runs += run.id.starts_with("after-");
    if (count)
        broken("CONFIG: the dropped route was served " + std::to_string(count) + " times, the last time "
            + std::to_string(last) + " ms after the acknowledgement; runs at the server: " + std::to_string(runs));
}

} // namespace

int main(int argumentCount, char** arguments) { return runCase(argumentCount, arguments, play); }

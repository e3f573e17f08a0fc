// Most machines of a deployment are lost at once and for good; later a route is dropped.
#include "Case.h"

#include <algorithm>
#include <csignal>

using namespace Review;

namespace {

// The size of the small site: four zones of four.
constexpr size_t zones = 4;
constexpr size_t nodesOfZone = 4;
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

// In each zone the node that asks the store least: the others hear of changes from those that watch it.
std::vector<size_t> quietest(const std::vector<std::unique_ptr<Node>>& fleet)
{
    std::vector<double> calls;
    for (const auto& node : fleet)
        calls.push_back(storeCalls(*node));
    std::this_thread::sleep_for(milliseconds(8000));
    std::string text;
    for (size_t i = 0; i < fleet.size(); ++i) {
        calls[i] = storeCalls(*fleet[i]) - calls[i];
        text += " node-" + std::to_string(2 + i) + ":" + std::to_string(static_cast<int>(calls[i]));
    }
    record("calls to the store in 8 s:" + text);
    std::vector<size_t> found;
    for (size_t zone = 0; zone < zones; ++zone) {
        const auto first = calls.begin() + static_cast<std::ptrdiff_t>(zone * nodesOfZone);
        const auto least = std::min_element(first, first + nodesOfZone);
        found.push_back(static_cast<size_t>(least - calls.begin()));
    }
    return found;
}

void play()
{
    // 1. The nodes, each beside a server of the one service, and a public route beside a keyed one.
    std::vector<std::unique_ptr<Node>> fleet;
    std::vector<std::unique_ptr<Server>> servers;
    for (size_t i = 0; i < zones * nodesOfZone; ++i)
        fleet.push_back(
            std::make_unique<Node>("zone-" + std::to_string(1 + i / nodesOfZone), "reports", static_cast<int>(2 + i)));
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
    const auto isLeft = [&](size_t i) { return std::ranges::find(left, i) != left.end(); };
    const auto askOpen = [&](size_t i, const std::string& name) {
        return ask(fleet[i]->outbound(),
            { .id = name + "-" + std::to_string(2 + i), .path = "/open/1", .deadline = 2000, .key = "" });
    };
    for (const auto i : left) {
        int served = 0;
        for (int number = 0; number < 10; ++number)
            served += askOpen(i, "before-" + std::to_string(number)).status == 200;
        require(served > 5, "the public route is not served");
    }

    // 2. All others are lost, with their servers.
    if (hasTrouble()) {
        for (size_t i = 0; i < fleet.size(); ++i) {
            if (!isLeft(i))
                fleet[i]->signal(SIGKILL);
        }
        for (size_t i = 0; i < fleet.size(); ++i) {
            if (isLeft(i))
                continue;
            servers[i]->stop();
            require(fleet[i]->awaitEnd(milliseconds(5000)), "a node does not end");
        }
    }
    std::this_thread::sleep_for(milliseconds(45000));

    // 3. The public route is dropped. The store has been well all along.
    const auto acknowledged = putConfiguration(version(2, { keyed }));

    // 4. Long after the bound it must not be served.
    sleepUntil(acknowledged + applyMilliseconds + stretchMilliseconds);
    int count = 0;
    int keyed200 = 0;
    int keyedAll = 0;
    int64_t last = 0;
    for (int number = 0; sinceStart() < acknowledged + 27000; ++number) {
        for (const auto i : left) {
            const auto at = sinceStart();
            if (askOpen(i, "after-" + std::to_string(number)).status == 200) {
                ++count;
                last = at - acknowledged;
            }
            const auto answer = ask(fleet[i]->outbound(),
                { .id = "keyed-" + std::to_string(number) + "-" + std::to_string(2 + i),
                    .path = "/report/1",
                    .deadline = 2000 });
            ++keyedAll;
            keyed200 += answer.status == 200;
        }
        std::this_thread::sleep_for(milliseconds(1000));
    }
    record("keyed requests served meanwhile: " + std::to_string(keyed200) + " of " + std::to_string(keyedAll));
    if (count)
        broken("CONFIG: the dropped route was served " + std::to_string(count) + " times, the last time "
            + std::to_string(last) + " ms after the acknowledgement");
}

} // namespace

int main(int argumentCount, char** arguments) { return runCase(argumentCount, arguments, play); }

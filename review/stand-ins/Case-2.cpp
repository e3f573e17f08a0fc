// A key is taken away by a new version, in a deployment with one tenant that has many keys.
#include "Case.h"

using namespace Review;

namespace {

constexpr int nodes = 4;
// Of the sheets: "config-apply-ms".
constexpr milliseconds applyTime(2000);
constexpr size_t keysOfTenant = 300;

std::vector<std::string> keys()
{
    std::vector<std::string> all;
    for (size_t i = 0; i < keysOfTenant; ++i)
        all.push_back("key-of-station-" + std::to_string(1000 + i));
    return all;
}

void play()
{
    // 1. Four nodes of one zone, and a configuration that all of them serve.
    std::vector<std::unique_ptr<Node>> fleet;
    for (int i = 0; i < nodes; ++i)
        fleet.push_back(std::make_unique<Node>("zone-a", "reports", 2 + i));
    auto all = keys();
    const auto version = [&](int number) {
        return configuration(number, { route("r-report", "/report/", "reports", "idempotent") }, { "reports" },
            { tenant("north", all) });
    };
    putConfiguration(version(1));
    std::vector<std::unique_ptr<Server>> servers;
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

    // 2. Both keys are good everywhere.
    const auto taken = all.back();
    const auto kept = all.front();
    const auto askAll = [&](const std::string& name, const std::string& key) {
        std::vector<Answer> answers;
        for (size_t i = 0; i < fleet.size(); ++i)
            answers.push_back(
                ask(fleet[i]->outbound(), { .id = name + "-" + std::to_string(i), .path = "/report/1", .key = key }));
        return answers;
    };
    for (const auto& answer : askAll("before-kept", kept))
        require(answer.status == 200, "a key that is there is not served");
    for (const auto& answer : askAll("before-taken", taken))
        require(answer.status == 200, "a key that is there is not served");

    // 3. One of them is taken away.
    if (hasTrouble()) {
        all.pop_back();
        putConfiguration(version(2));
    }

    // 4. Long after the bound, it must not work anywhere.
    for (int round = 0; round < 4; ++round) {
        std::this_thread::sleep_for(round ? milliseconds(5000) : 2 * applyTime);
        for (const auto& answer : askAll("after-kept-" + std::to_string(round), kept))
            require(answer.status == 200, "a key that is there is not served");
        const auto answers = askAll("after-taken-" + std::to_string(round), taken);
        for (size_t i = 0; i < answers.size(); ++i) {
            if (hasTrouble() && answers[i].status != 401)
                broken("CONFIG: the key that was taken away got " + answers[i].text() + " at node-"
                    + std::to_string(2 + i));
            if (!hasTrouble() && answers[i].status != 200)
                broken("CONFIG: a key that is there got " + answers[i].text());
        }
    }
    for (const auto& run : servers.front()->runs())
        require(run.tenant == "north", "a run without its tenant");
}

} // namespace

int main(int argumentCount, char** arguments) { return runCase(argumentCount, arguments, play); }

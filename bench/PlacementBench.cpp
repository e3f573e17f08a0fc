// libraries: placement
#include "PlacementModel.h"

#include <cstdio>

// Compares the strategies of placement on the same requests. usage: PlacementBench

using namespace Vanillaridge;

int main()
{
    PlacementCase one { .name = "1 server" };
    one.servers = 1;
    one.entries = 1;
    one.zones = 1;
    one.speeds = { 1.0 };
    PlacementCase twelve { .name = "12 servers" };
    PlacementCase calm { .name = "12 servers, load 0.4" };
    calm.load = 0.4;
    PlacementCase crowded { .name = "12 servers, load 0.95" };
    crowded.load = 0.95;
    PlacementCase noisy { .name = "12 servers, noise" };
    noisy.noisyShare = 0.15;
    PlacementCase slowed { .name = "12 servers, one slows down" };
    slowed.changeAt = seconds(3);
    slowed.changedSpeed = 0.15;
    PlacementCase dearer { .name = "12 servers, a cost doubles" };
    dearer.load = 0.6;
    dearer.changeAt = seconds(3);
    dearer.changedCost = 2;
    PlacementCase ninety { .name = "90 servers" };
    ninety.servers = 90;
    ninety.entries = 90;
    ninety.length = seconds(3);
    PlacementCase large { .name = "2,100 servers" };
    large.servers = 2100;
    large.entries = 16;
    large.slots = 2;
    large.length = milliseconds(1500);

    constexpr std::array strategies { PlacementStrategy::SoonestCompletion, PlacementStrategy::TwoChoices,
        PlacementStrategy::PureRandom };
    std::printf("| case | strategy | in target | p99, ms | imbalance | in zone | requests |\n");
    std::printf("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto& modelled : { one, calm, twelve, crowded, noisy, slowed, dearer, ninety, large }) {
        for (const auto strategy : strategies) {
            const auto result = PlacementModel(modelled, strategy).run();
            std::printf("| %s | %s | %.4f | %lld | %.2f | %.2f | %zu |\n", modelled.name.c_str(),
                std::string(toText(strategy)).c_str(), result.inTarget,
                static_cast<long long>(inMilliseconds(result.p99)), result.imbalance, result.inZone, result.requests);
        }
    }
}

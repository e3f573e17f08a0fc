#include "messages/Messages.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    template <typename Message>
    constexpr bool goesAsDatagram
        = std::is_same_v<Message,
              Probe> || std::is_same_v<Message, ProbeAcknowledgement> || std::is_same_v<Message, MemberDigest> || std::is_same_v<Message, MemberBuckets> || std::is_same_v<Message, DepartureNews>;

    // Part of a rank by which calls stand above new requests of their rank.
    constexpr double headStartOfCalls = 0.25;

    // Height of those that are shed last.
    double topOf(Rank rank, uint32_t depth)
    {
        return double(rankCount - indexOf(rank)) + (depth > 1 ? headStartOfCalls : 0);
    }

} // namespace

bool isNewWork(const RequestContext& context) { return context.parentKnown && context.depth == 1; }

double sheddingHeight(const RequestContext& context)
{
    return topOf(context.rank, context.depth) - unitOfHash(context.treeHash);
}

double survivalAt(Rank rank, uint32_t depth, double shedLevel)
{
    return std::clamp(topOf(rank, depth) - shedLevel, 0.0, 1.0);
}

bool isDatagram(const ControlMessage& message)
{
    return std::visit([](const auto& content) { return goesAsDatagram<std::decay_t<decltype(content)>>; }, message);
}

} // namespace Vanillaridge

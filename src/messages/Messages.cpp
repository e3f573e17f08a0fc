#include "messages/Messages.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    template <typename Message>
    constexpr bool goesAsDatagram
        = std::is_same_v<Message,
              Probe> || std::is_same_v<Message, ProbeAcknowledgement> || std::is_same_v<Message, MemberDigest> || std::is_same_v<Message, MemberBuckets>;

} // namespace

namespace {

    // Part of a rank by which calls stand above new requests of their rank.
    constexpr double headStartOfCalls = 0.25;

} // namespace

double sheddingHeight(const RequestContext& context)
{
    const auto ranksBelow = double(rankCount - 1 - indexOf(context.rank));
    return ranksBelow + 1 - unitOfHash(context.treeHash) + (context.depth > 1 ? headStartOfCalls : 0);
}

double survivalAt(Rank rank, double shedLevel)
{
    const auto ranksBelow = double(rankCount - 1 - indexOf(rank));
    return std::clamp(ranksBelow + 1 - shedLevel, 0.0, 1.0);
}

bool isDatagram(const ControlMessage& message)
{
    return std::visit([](const auto& content) { return goesAsDatagram<std::decay_t<decltype(content)>>; }, message);
}

} // namespace Vanillaridge

#include "messages/Messages.h"

#include <algorithm>

namespace Vanillaridge {

namespace {

    template <typename Message>
    constexpr bool goesAsDatagram
        = std::is_same_v<Message,
              Probe> || std::is_same_v<Message, ProbeAcknowledgement> || std::is_same_v<Message, MemberDigest> || std::is_same_v<Message, MemberBuckets>;

} // namespace

double shedRank(const RequestContext& context)
{
    const auto classesBelow = double(importanceCount - 1 - static_cast<size_t>(context.importance));
    return classesBelow + 1 - unitOfHash(context.treeHash);
}

double survivalAt(Importance importance, double shedLevel)
{
    const auto classesBelow = double(importanceCount - 1 - static_cast<size_t>(importance));
    return std::clamp(classesBelow + 1 - shedLevel, 0.0, 1.0);
}

bool isDatagram(const ControlMessage& message)
{
    return std::visit([](const auto& content) { return goesAsDatagram<std::decay_t<decltype(content)>>; }, message);
}

} // namespace Vanillaridge

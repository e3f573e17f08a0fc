#include "messages/Messages.h"

namespace Vanillaridge {

namespace {

    template <typename Message>
    constexpr bool goesAsDatagram
        = std::is_same_v<Message,
              Probe> || std::is_same_v<Message, ProbeAcknowledgement> || std::is_same_v<Message, MemberDigest> || std::is_same_v<Message, MemberBuckets>;

} // namespace

bool isDatagram(const ControlMessage& message)
{
    return std::visit([](const auto& content) { return goesAsDatagram<std::decay_t<decltype(content)>>; }, message);
}

} // namespace Vanillaridge

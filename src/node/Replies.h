/// Replies that the system makes itself. Private to the node library.
#pragma once

#include "http/Http.h"

namespace Vanillaridge {

/// The reply for a reason: status, outcome, reason, when to come again, and a short JSON body.
SimpleReply replyFor(Reason, Duration retryAfter, std::string_view requestText = {});

/// A small reply with a body of the given type.
SimpleReply textReply(uint16_t status, std::string_view contentType, std::string body);

} // namespace Vanillaridge

#include "node/EntryFlow.h"

#include "node/EntryRequest.h"
#include "node/Replies.h"

namespace Vanillaridge {

Task<void> EntryFlow::serveCaller(std::shared_ptr<HttpExchange> exchange)
{
    co_await std::make_shared<EntryRequest>(m_parts, std::move(exchange), std::nullopt)->run();
}

Task<void> EntryFlow::serveCall(std::shared_ptr<HttpExchange> exchange)
{
    const auto parent = attemptIdFromText(exchange->head().header(requestHeader));
    if (!parent) {
        m_parts.board.counters().addRefusal(Reason::ParentUnknown);
        co_await exchange->reply(replyFor(Reason::ParentUnknown, Duration(0)));
        co_return;
    }
    co_await std::make_shared<EntryRequest>(m_parts, std::move(exchange), parent)->run();
}

} // namespace Vanillaridge

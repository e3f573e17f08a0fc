#include "node/EntryFlow.h"

#include "node/EntryRequest.h"

namespace Vanillaridge {

Task<void> EntryFlow::serveCaller(std::shared_ptr<HttpExchange> exchange)
{
    co_await std::make_shared<EntryRequest>(m_parts, std::move(exchange), std::nullopt)->run();
}

Task<void> EntryFlow::serveCall(std::shared_ptr<HttpExchange> exchange)
{
    if (!m_parts.dialect.callsNameParent()) {
        co_await serveCaller(std::move(exchange));
        co_return;
    }
    const auto parent = attemptIdFromText(m_parts.dialect.parentOf(exchange->head()));
    if (!parent) {
        m_parts.board.counters().addRefusal(Reason::ParentUnknown);
        auto reply = m_parts.dialect.refusal({ Reason::ParentUnknown });
        co_await exchange->reply(std::move(reply));
        co_return;
    }
    co_await std::make_shared<EntryRequest>(m_parts, std::move(exchange), parent)->run();
}

} // namespace Vanillaridge

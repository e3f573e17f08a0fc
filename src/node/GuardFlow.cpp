#include "node/GuardFlow.h"

#include "node/GuardAttempt.h"

#include <boost/asio/this_coro.hpp>

namespace Vanillaridge {

Task<void> GuardFlow::serve(MessageStreamPointer stream, OpenRequest open, PeerClock senderClock)
{
    const auto strand = co_await boost::asio::this_coro::executor;
    const auto attempt = std::make_shared<GuardAttempt>(m_parts, strand, std::move(stream), std::move(open));
    co_await attempt->run(senderClock);
}

VerdictReply GuardFlow::verdict(const VerdictQuery& query, const Hello& sender, const PeerClock& senderClock)
{
    return m_parts.control.guardLedger.verdict(query, sender, senderClock);
}

namespace {

    // Which controller takes which message.
    struct Receiver {
        Controllers& control;
        const Endpoint& from;

        void operator()(const QuotaPull& message) const { control.quota.receive(from, message); }
        void operator()(const QuotaGrant& message) const { control.quota.receive(from, message); }
        void operator()(const QuotaReturn& message) const { control.quota.receive(from, message); }
        void operator()(const Probe& message) const { control.membership.receive(from, message); }
        void operator()(const ProbeAcknowledgement& message) const { control.membership.receive(from, message); }
        void operator()(const MemberDigest& message) const { control.membership.receive(from, message); }
        void operator()(const MemberBuckets& message) const { control.membership.receive(from, message); }
        void operator()(const SectionListRequest& message) const { control.dissemination.receive(from, message); }
        void operator()(const SectionList& message) const { control.dissemination.receive(from, message); }
        void operator()(const SectionRequest& message) const { control.dissemination.receive(from, message); }
        void operator()(const SectionReply& message) const { control.dissemination.receive(from, message); }
        void operator()(const DepartureNews& message) const { control.witness.receive(from, message); }
    };

} // namespace

void GuardFlow::control(const Endpoint& from, const ControlMessage& message)
{
    std::visit(Receiver { m_parts.control, from }, message);
}

} // namespace Vanillaridge

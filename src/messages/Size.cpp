#include "messages/Messages.h"

#include <numeric>

namespace Vanillaridge {

namespace {

    // Bytes before each string or sequence, for its length.
    constexpr size_t lengthSize = sizeof(uint32_t);
    // Bytes of the header of a datagram: MAC, protocol version, sender's endpoint and boot id, time of sending, kind.
    // Frames of connections have a shorter one.
    constexpr size_t longestEndpoint = std::string_view("255.255.255.255:65535").size();
    constexpr size_t frameSize = 16 + 1 + lengthSize + longestEndpoint + 8 + 8 + 1;

    // Everything that has a fixed size is encoded in just that size.
    template <typename Value>
    requires std::is_arithmetic_v<Value> || std::is_enum_v<Value> size_t sizeOf(const Value&) { return sizeof(Value); }

    size_t sizeOf(Duration) { return sizeof(Duration::rep); }
    size_t sizeOf(BootId) { return sizeof(uint64_t); }
    size_t sizeOf(Incarnation) { return sizeof(uint64_t); }
    size_t sizeOf(const std::string& text) { return lengthSize + text.size(); }
    size_t sizeOf(const ConfigurationNews&);
    size_t sizeOf(const ServerAnnouncement&);
    size_t sizeOf(const MemberUpdate&);
    size_t sizeOf(const SectionReference&);
    size_t sizeOf(const Departure&);

    template <typename Value> size_t sizeOf(const std::vector<Value>& values)
    {
        return std::accumulate(values.begin(), values.end(), lengthSize,
            [](size_t sum, const Value& value) { return sum + sizeOf(value); });
    }

    // Sum over the fields of one structure.
    template <typename... Fields> size_t sum(const Fields&... fields) { return (sizeOf(fields) + ... + size_t { 0 }); }

    size_t sizeOf(const ServerAnnouncement& server)
    {
        return sum(server.service, server.generation, server.slots, server.draining);
    }

    size_t sizeOf(const MemberUpdate& update)
    {
        return sum(update.endpoint, update.zone, update.incarnation, update.version, update.boot, update.state,
            update.servers, update.quotaSlots);
    }

    size_t sizeOf(const SectionReference& section) { return sum(section.name, section.hash); }

    size_t sizeOf(const ConfigurationNews& news)
    {
        return sum(news.number, news.contentHash, news.confirmedAgo, news.storeReachable, news.storeEra);
    }

    size_t sizeOf(const QuotaPull& pull)
    {
        return sum(pull.pull, pull.account, pull.slot, pull.wanted, pull.least, pull.configuration);
    }

    size_t sizeOf(const QuotaGrant& grant)
    {
        return sum(grant.pull, grant.account, grant.tokens, grant.lifetime, grant.left, grant.retryAfter);
    }

    size_t sizeOf(const QuotaReturn& given) { return sum(given.pull, given.account, given.slot, given.total); }

    size_t sizeOf(const Probe& probe) { return sum(probe.sequence, probe.target, probe.news, probe.updates); }

    size_t sizeOf(const ProbeAcknowledgement& answer)
    {
        return sum(answer.sequence, answer.target, answer.news, answer.updates);
    }

    size_t sizeOf(const MemberDigest& digest) { return sum(digest.buckets, digest.wantsReply, digest.news); }

    size_t sizeOf(const MemberBuckets& message) { return sum(message.buckets, message.updates, message.wantsReply); }

    size_t sizeOf(const SectionListRequest& request) { return sum(request.number, request.base); }

    size_t sizeOf(const SectionList& list)
    {
        return sum(list.number, list.contentHash, list.sections, list.base, list.removed);
    }

    size_t sizeOf(const SectionRequest& request) { return sum(request.number, request.hashes); }

    size_t sizeOf(const Departure& departure) { return sum(departure.server, departure.life); }

    size_t sizeOf(const DepartureNews& news) { return sum(news.kind, news.boot, news.departures); }

    size_t sizeOf(const SectionReply& reply) { return sum(reply.number, reply.sections); }

} // namespace

size_t estimatedSize(const MemberUpdate& update) { return sizeOf(update); }

size_t estimatedSize(const ControlMessage& message)
{
    return frameSize + std::visit([](const auto& content) { return sizeOf(content); }, message);
}

} // namespace Vanillaridge

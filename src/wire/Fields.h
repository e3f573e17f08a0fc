/// The fields of each message, in the order in which they are encoded. Each message is unpacked in whole, so that a
/// field added to it fails to compile until it is named here.
#pragma once

#include "wire/Archives.h"

namespace Vanillaridge {

inline auto ranged(Importance& value) { return RangedEnumeration<Importance> { value, importanceCount }; }
inline auto ranged(Reason& value) { return RangedEnumeration<Reason> { value, reasonCount }; }
inline auto ranged(VerdictKind& value)
{
    return RangedEnumeration<VerdictKind> { value, static_cast<uint8_t>(VerdictKind::Unknown) + 1 };
}
inline auto ranged(DepartureNewsKind& value)
{
    return RangedEnumeration<DepartureNewsKind> { value, static_cast<uint8_t>(DepartureNewsKind::Recall) + 1 };
}
inline auto ranged(MemberState& value)
{
    return RangedEnumeration<MemberState> { value, static_cast<uint8_t>(MemberState::Dead) + 1 };
}

template <typename Archive> void serialize(Archive& archive, NodeId& id) { archive(id.value); }
template <typename Archive> void serialize(Archive& archive, Incarnation& id) { archive(id.value); }
template <typename Archive> void serialize(Archive& archive, BootId& id) { archive(id.value); }

template <typename Archive> void serialize(Archive& archive, RequestId& id)
{
    auto& [entry, boot, sequence] = id;
    archive(entry, boot, sequence);
}

template <typename Archive> void serialize(Archive& archive, AttemptId& id)
{
    auto& [request, number] = id;
    archive(request, number);
}

template <typename Archive> void serialize(Archive& archive, HeaderField& field)
{
    auto& [name, value] = field;
    archive(name, value);
}

template <typename Archive> void serialize(Archive& archive, LoadFeedback& feedback)
{
    auto& [service, running, waiting, limit, shedLevel, serviceTime, queueTime, draining] = feedback;
    archive(service, running, waiting, limit, shedLevel, serviceTime, queueTime, draining);
}

template <typename Archive> void serialize(Archive& archive, Rank& rank)
{
    auto& [account, route] = rank;
    archive(ranged(account), ranged(route));
}

template <typename Archive> void serialize(Archive& archive, RequestContext& context)
{
    auto& [attempt, account, route, service, rank, idempotent, remaining, retriesLeft, depth, treeHash, represents,
        parentKnown]
        = context;
    archive(attempt, account, route, service, rank, idempotent, remaining, retriesLeft, depth, treeHash, represents,
        parentKnown);
}

template <typename Archive> void serialize(Archive& archive, OpenRequest& message)
{
    auto& [context, guard, method, target, headers, hasBody, sentAt, contentLength] = message;
    archive(context, guard, method, target, headers, hasBody, sentAt, contentLength);
}

template <typename Archive> void serialize(Archive& archive, AnswerHead& message)
{
    auto& [attempt, guard, status, headers, hasBody, feedback, retriesUsed, contentLength, backendTime] = message;
    archive(attempt, guard, status, headers, hasBody, feedback, retriesUsed, contentLength, backendTime);
}

template <typename Archive> void serialize(Archive& archive, Refusal& message)
{
    auto& [attempt, guard, reason, started, retryAfter, feedback, retriesUsed] = message;
    archive(attempt, guard, ranged(reason), started, retryAfter, feedback, retriesUsed);
}

template <typename Archive> void serialize(Archive& archive, BodyChunk& message)
{
    auto& [bytes, last] = message;
    archive(bytes, last);
}

template <typename Archive> void serialize(Archive& archive, BodyCredit& message)
{
    auto& [bytes] = message;
    archive(bytes);
}

template <typename Archive> void serialize(Archive& archive, CancelRequest& message)
{
    auto& [reason] = message;
    archive(ranged(reason));
}

template <typename Archive> void serialize(Archive& archive, VerdictQuery& message)
{
    auto& [attempt, guard, openedAt, remaining] = message;
    archive(attempt, guard, openedAt, remaining);
}

template <typename Archive> void serialize(Archive& archive, VerdictReply& message)
{
    auto& [attempt, kind] = message;
    archive(attempt, ranged(kind));
}

template <typename Archive> void serialize(Archive& archive, Hello& message)
{
    auto& [endpoint, boot, nonce, protocol] = message;
    archive(endpoint, boot, nonce, protocol);
}

template <typename Archive> void serialize(Archive& archive, Ready& message)
{
    auto& [sentAt] = message;
    archive(sentAt);
}

template <typename Archive> void serialize(Archive& archive, Ping& message)
{
    auto& [sequence] = message;
    archive(sequence);
}

template <typename Archive> void serialize(Archive& archive, Pong& message)
{
    auto& [sequence, sentAt] = message;
    archive(sequence, sentAt);
}

template <typename Archive> void serialize(Archive& archive, QuotaPull& message)
{
    auto& [pull, account, slot, wanted, least, configuration] = message;
    archive(pull, account, slot, wanted, least, configuration);
}

template <typename Archive> void serialize(Archive& archive, QuotaGrant& message)
{
    auto& [pull, account, tokens, lifetime, left, retryAfter] = message;
    archive(pull, account, tokens, lifetime, left, retryAfter);
}

template <typename Archive> void serialize(Archive& archive, QuotaReturn& message)
{
    auto& [pull, account, slot, total] = message;
    archive(pull, account, slot, total);
}

template <typename Archive> void serialize(Archive& archive, Departure& departure)
{
    auto& [server, life] = departure;
    archive(server, life);
}

template <typename Archive> void serialize(Archive& archive, DepartureNews& message)
{
    auto& [kind, boot, departures] = message;
    archive(ranged(kind), boot, departures);
}

template <typename Archive> void serialize(Archive& archive, ServerAnnouncement& announcement)
{
    auto& [service, generation, slots, draining] = announcement;
    archive(service, generation, slots, draining);
}

template <typename Archive> void serialize(Archive& archive, MemberUpdate& update)
{
    auto& [endpoint, zone, incarnation, version, boot, state, servers, quotaSlots] = update;
    archive(endpoint, zone, incarnation, version, boot, ranged(state), servers, quotaSlots);
}

template <typename Archive> void serialize(Archive& archive, ConfigurationNews& news)
{
    auto& [number, contentHash, confirmedAgo, storeReachable, storeEra] = news;
    archive(number, contentHash, confirmedAgo, storeReachable, storeEra);
}

template <typename Archive> void serialize(Archive& archive, Probe& message)
{
    auto& [sequence, target, news, updates] = message;
    archive(sequence, target, news, updates);
}

template <typename Archive> void serialize(Archive& archive, ProbeAcknowledgement& message)
{
    auto& [sequence, target, news, updates] = message;
    archive(sequence, target, news, updates);
}

template <typename Archive> void serialize(Archive& archive, MemberDigest& message)
{
    auto& [buckets, wantsReply, news] = message;
    archive(buckets, wantsReply, news);
}

template <typename Archive> void serialize(Archive& archive, MemberBuckets& message)
{
    auto& [buckets, updates, wantsReply] = message;
    archive(buckets, updates, wantsReply);
}

template <typename Archive> void serialize(Archive& archive, SectionReference& reference)
{
    auto& [name, hash] = reference;
    archive(name, hash);
}

template <typename Archive> void serialize(Archive& archive, SectionListRequest& message)
{
    auto& [number, base] = message;
    archive(number, base);
}

template <typename Archive> void serialize(Archive& archive, SectionList& message)
{
    auto& [number, contentHash, sections, base, removed] = message;
    archive(number, contentHash, sections, base, removed);
}

template <typename Archive> void serialize(Archive& archive, SectionRequest& message)
{
    auto& [number, hashes] = message;
    archive(number, hashes);
}

template <typename Archive> void serialize(Archive& archive, SectionReply& message)
{
    auto& [number, sections] = message;
    archive(number, sections);
}

} // namespace Vanillaridge

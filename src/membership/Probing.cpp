// Probes of other members, on this node's own behalf and on that of others, and what follows when nobody answers.
#include "membership/MembershipState.h"

#include <algorithm>
#include <bit>

namespace Vanillaridge {

namespace {

    // Weight of one probe in the smoothed share of answered ones.
    constexpr double answerWeight = 0.1;
    // Share of the fleet under suspicion at once from which a suspect gets the long time: the network may just be
    // healing, and that many answers take their time to come round.
    constexpr double massSuspicionShare = 1.0 / 3;
    constexpr size_t massSuspicionMinimum = 8;
    constexpr int massSuspicionFactor = 6;
    // Draws made to find each helper.
    constexpr uint32_t triesPerHelper = 3;

} // namespace

PendingProbe& Membership::State::sendProbe(
    const Endpoint& to, std::optional<NodeId> target, Instant now, Effects& effects)
{
    Probe probe { ++lastSequence, {}, news(), {} };
    probe.updates = updatesFor(NodeId::of(to), estimatedSize(ControlMessage(probe)));
    board.counters().add(Counter::MembershipProbes);
    send(to, std::move(probe), effects);
    return pending.emplace(lastSequence, PendingProbe { target, to, now }).first->second;
}

void Membership::State::probeNext(Instant now, Effects& effects)
{
    nextProbe = now + random.jittered(settings.probePeriod, 0.1);
    const auto member = table.live().next();
    const auto endpoint = member ? table.endpoint(*member) : std::nullopt;
    if (endpoint)
        sendProbe(*endpoint, member, now, effects);
}

// Tries somebody who may be there again: a member held for dead, or a first contact. Without this the halves of a
// fleet that was cut in two would never look for each other.
void Membership::State::reconnect(Instant now, Effects& effects)
{
    const auto alone = table.live().size() == 0;
    nextReconnect = now + random.jittered(alone ? contactPeriod : settings.reconnectPeriod, 0.2);
    if (alone)
        contactPeriod = std::min(2 * contactPeriod, settings.reconnectPeriod);
    const auto dead = table.dead().draw(random);
    if (dead && (contacts.empty() || random.below(4) > 0)) {
        if (const auto endpoint = table.endpoint(*dead))
            sendProbe(*endpoint, std::nullopt, now, effects);
        return;
    }
    if (contacts.empty())
        return;
    const auto& contact = contacts[random.below(contacts.size())];
    if (table.live().contains(NodeId::of(contact)))
        return;
    sendProbe(contact, std::nullopt, now, effects);
    // A probe introduces this node, and is answered with what is new: that the others are there is old news to them.
    if (alone)
        send(contact, MemberDigest { table.digest(), true, news() }, effects);
}

// Follows up each probe that has waited too long.
void Membership::State::escalateProbes(Instant now, Effects& effects)
{
    std::vector<PendingProbe> failed;
    for (auto place = pending.begin(); place != pending.end();) {
        auto& [sequence, probe] = *place;
        const auto waited = now - probe.sentAt;
        if (waited >= settings.probeTimeout) {
            failed.push_back(probe);
            place = pending.erase(place);
            continue;
        }
        if (probe.target && !probe.helpersAsked && waited >= settings.directTimeout) {
            probe.helpersAsked = true;
            askHelpers(sequence, probe, effects);
        }
        ++place;
    }
    for (const auto& probe : failed)
        fail(probe, now, effects);
}

void Membership::State::askHelpers(uint64_t sequence, const PendingProbe& probe, Effects& effects)
{
    std::vector<NodeId> asked { *probe.target };
    for (uint32_t tries = 0; tries < triesPerHelper * settings.helpers && asked.size() <= settings.helpers; ++tries) {
        const auto helper = table.live().draw(random);
        if (!helper || std::find(asked.begin(), asked.end(), *helper) != asked.end())
            continue;
        asked.push_back(*helper);
        if (const auto endpoint = table.endpoint(*helper))
            send(*endpoint, Probe { sequence, probe.endpoint, news(), {} }, effects);
    }
}

void Membership::State::fail(const PendingProbe& probe, Instant now, Effects& effects)
{
    if (!probe.target || probe.isLastChance)
        return;
    board.counters().add(Counter::MembershipProbesFailed);
    noteAnswer(false, now);
    if (inDoubt(now) || table.state(*probe.target) != MemberState::Alive)
        return;
    table.judge(*probe.target, MemberState::Suspect, now);
    suspicions.emplace(*probe.target, Suspicion { now });
    queue.push(*probe.target, false);
    effects.changed.push_back(*probe.target);
    board.counters().add(Counter::MembershipSuspicions);
    // The suspect should hear of it first of all.
    send(probe.endpoint, Probe { 0, {}, news(), updatesFor(probe.target, estimatedSize(ControlMessage(Probe()))) },
        effects);
}

void Membership::State::noteAnswer(bool isAnswered, Instant now)
{
    answeredShare += answerWeight * ((isAnswered ? 1.0 : 0.0) - answeredShare);
    if (answeredShare >= settings.doubtShare)
        doubtSince = Instant();
    else if (doubtSince == Instant())
        doubtSince = now;
}

// Whether failures more likely lie with this node, or its part of the fleet, than with the others. A node that reaches
// the store while most members have been silent for as long as a suspect gets is not the one that is cut off.
bool Membership::State::inDoubt(Instant now) const
{
    return doubtSince != Instant() && now - doubtSince < settings.doubtLimit
        && board.configuration().freshness().storeAnsweredAt < reachProofFrom();
}

Instant Membership::State::reachProofFrom() const
{
    return doubtSince == Instant() ? Instant() : doubtSince + suspicionTimeout();
}

Duration Membership::State::suspicionTimeout() const
{
    const auto doublings = static_cast<double>(std::bit_width(table.live().size() + 1));
    const auto periods = std::max(settings.suspicionFactor * doublings, 1.0);
    return Duration(static_cast<Duration::rep>(periods * static_cast<double>(settings.probePeriod.count())));
}

void Membership::State::expireSuspicions(Instant now, Effects& effects)
{
    if (suspicions.empty())
        return;
    const auto suspects = static_cast<double>(suspicions.size());
    const auto isMass = suspicions.size() >= massSuspicionMinimum
        && suspects > massSuspicionShare * static_cast<double>(table.live().size());
    const auto timeout = suspicionTimeout() * (isMass ? massSuspicionFactor : 1);
    std::vector<NodeId> expired;
    for (auto& [member, suspicion] : suspicions) {
        if (now - suspicion.begun >= timeout / 2)
            giveLastChance(member, suspicion, now, effects);
        if (now - suspicion.begun >= timeout)
            expired.push_back(member);
    }
    for (const auto member : expired)
        settle(member, now, effects);
}

// Ends a suspicion that nobody has cleared.
void Membership::State::settle(NodeId member, Instant now, Effects& effects)
{
    suspicions.erase(member);
    effects.changed.push_back(member);
    // What this node thought while it was cut off is worth nothing: start anew.
    if (inDoubt(now)) {
        table.judge(member, MemberState::Alive, now);
        return;
    }
    table.judge(member, MemberState::Dead, now);
    queue.push(member, false);
    board.counters().add(Counter::MembershipDeaths);
}

// Whoever has not heard a suspect speak up asks it, since the gossip that clears it may have missed just this node.
void Membership::State::giveLastChance(NodeId member, Suspicion& suspicion, Instant now, Effects& effects)
{
    if (suspicion.isProbed || allowance <= 0)
        return;
    suspicion.isProbed = true;
    if (const auto endpoint = table.endpoint(member))
        sendProbe(*endpoint, member, now, effects).isLastChance = true;
}

// An answer to a probe of this node's own, by whatever way it came.
void Membership::State::answered(const PendingProbe& probe, Instant now, Effects& effects)
{
    board.configuration().updateFreshness([&](FreshnessRecord& record) {
        if (probe.sentAt >= record.resumedAt)
            record.viewRefreshed = true;
    });
    contactPeriod = settings.joinPeriod;
    if (!probe.target)
        return;
    if (!probe.isLastChance)
        noteAnswer(true, now);
    table.heard(*probe.target, now);
    if (suspicions.erase(*probe.target) == 0)
        return;
    table.judge(*probe.target, MemberState::Alive, now);
    effects.changed.push_back(*probe.target);
}

void Membership::State::acknowledge(const Endpoint& to, uint64_t sequence, const Endpoint& target, Effects& effects)
{
    ProbeAcknowledgement acknowledgement { sequence, target, news(), {} };
    acknowledgement.updates = updatesFor(NodeId::of(to), estimatedSize(ControlMessage(acknowledgement)));
    send(to, std::move(acknowledgement), effects);
}

void Membership::State::handle(const Endpoint& from, const Probe& probe, Instant now, Effects& effects)
{
    notePause(now);
    if (distrusts(now))
        return;
    mergeAll(from, probe.updates, now, effects);
    hear(from, probe.news, std::nullopt);
    table.heard(NodeId::of(from), now);
    if (probe.sequence == 0)
        return;
    if (probe.target.empty() || probe.target == self.endpoint) {
        acknowledge(from, probe.sequence, {}, effects);
        return;
    }
    Probe onBehalf { ++lastSequence, {}, news(), {} };
    relayed.emplace(lastSequence, RelayedProbe { from, probe.sequence, now });
    send(probe.target, std::move(onBehalf), effects);
}

void Membership::State::handle(
    const Endpoint& from, const ProbeAcknowledgement& acknowledgement, Instant now, Effects& effects)
{
    notePause(now);
    const auto own = pending.find(acknowledgement.sequence);
    const auto isOwn = own != pending.end()
        && (acknowledgement.target.empty() ? from : acknowledgement.target) == own->second.endpoint;
    if (isOwn)
        distrustUntil = now;
    if (distrusts(now))
        return;
    mergeAll(from, acknowledgement.updates, now, effects);
    hear(from, acknowledgement.news, isOwn ? std::optional(own->second.sentAt) : std::nullopt);
    if (isOwn) {
        const auto probe = own->second;
        pending.erase(own);
        answered(probe, now, effects);
        return;
    }
    const auto relay = relayed.find(acknowledgement.sequence);
    if (relay == relayed.end() || !acknowledgement.target.empty())
        return;
    const auto probe = relay->second;
    relayed.erase(relay);
    acknowledge(probe.asker, probe.askerSequence, from, effects);
}

} // namespace Vanillaridge

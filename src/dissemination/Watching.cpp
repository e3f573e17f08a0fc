// The store's side: who watches, what is read when, and what is reported back.
#include "dissemination/DisseminationState.h"

#include "log/Log.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace Vanillaridge {

namespace {

    constexpr std::string_view watchDuty = "watch";
    // Errors told in the status object, and the longest of them in bytes.
    constexpr size_t errorsTold = 20;
    constexpr size_t errorLimit = 400;

    // A TOML basic string.
    std::string quoted(std::string_view text)
    {
        std::string result = "\"";
        for (const auto character : text.substr(0, errorLimit)) {
            if (character == '"' || character == '\\')
                result += '\\';
            result += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
        }
        return result + '"';
    }

    std::string statusFor(StoreVersion version, uint64_t inForce, std::span<const std::string> errors)
    {
        auto text = "number = " + std::to_string(version.number)
            + "\nverdict = " + (errors.empty() ? "\"accepted\"" : "\"rejected\"")
            + "\nera = " + std::to_string(version.era) + "\nin-force = " + std::to_string(inForce) + "\nerrors = [";
        for (const auto& error : errors.first(std::min(errors.size(), errorsTold)))
            text += "\n    " + quoted(error) + ",";
        return text + (errors.empty() ? "]\n" : "\n]\n");
    }

    // The number after a word that starts a line; 0 when there is none.
    uint64_t numberAfter(std::string_view word, std::string_view text)
    {
        const auto start = text.find(word);
        if (start == std::string_view::npos || (start > 0 && text[start - 1] != '\n'))
            return 0;
        uint64_t number = 0;
        std::from_chars(text.data() + start + word.size(), text.data() + text.size(), number);
        return number;
    }

    // The version of the manifest that a status object tells of; absentVersion when it tells of none.
    StoreVersion versionOfStatus(std::string_view text)
    {
        return { numberAfter("era = ", text), numberAfter("number = ", text) };
    }

} // namespace

// Finds the watchers of all zones by rendezvous hashing. A suspected one is replaced at once; two too many do no harm.
void Dissemination::State::reviewDuty()
{
    const auto duty = stableHash(watchDuty);
    std::map<ZoneName, std::vector<std::pair<uint64_t, uint64_t>>> zones;
    board.members().forEach([&](NodeId id, const MemberRecord& record) {
        if (record.said.state == MemberState::Alive)
            zones[record.said.zone].emplace_back(dutyScore(id, duty), id.value);
    });
    std::vector<uint64_t> watchers;
    liveMembers = 0;
    for (auto& [zone, members] : zones) {
        liveMembers += members.size();
        const auto count = std::min<size_t>(settings.watchersPerZone, members.size());
        std::partial_sort(
            members.begin(), members.begin() + static_cast<std::ptrdiff_t>(count), members.end(), std::greater<>());
        for (size_t i = 0; i < count; ++i)
            watchers.push_back(members[i].second);
    }
    const bool chosen = watchers.empty() || std::find(watchers.begin(), watchers.end(), selfId.value) != watchers.end();
    isWatcher = chosen && !board.draining();
}

// Time over which nodes that miss the same confirmation spread their calls.
Duration Dissemination::State::takeoverSpread() const
{
    const auto period
        = std::chrono::duration<double>(static_cast<double>(liveMembers) / settings.takeoverCallsPerSecond);
    return std::chrono::duration_cast<Duration>(period);
}

// Whether nobody has confirmed the configuration for too long; after a start or a pause others get time to do so.
bool Dissemination::State::isUnconfirmed(const FreshnessRecord& record, Instant now) const
{
    return now - std::max(record.confirmedAt, record.resumedAt) > settings.takeoverAfter;
}

// Watchers are chosen among the members that this node takes to be alive, and may all be gone or cut off from the
// store. A node that nobody confirms the configuration to asks the store itself, and goes on as a watcher if it
// answers.
void Dissemination::State::reviewSilence(Instant now, Effects& effects)
{
    const auto record = board.configuration().freshness();
    // 1. At the end of its term as a stand-in, this node goes on unless others have confirmed lately.
    if (takeoverUntil != Instant() && now >= takeoverUntil) {
        const bool isAlone = now - record.confirmedByOthersAt > settings.takeoverAfter;
        takeoverUntil = isAlone ? now + random.jittered(settings.takeoverTerm, 0.5) : Instant();
    }
    // 2. The store is also asked when its answer would show whether silent members are gone.
    const bool isSilent = isUnconfirmed(record, now);
    const bool proofIsDue = record.reachProofFrom != Instant() && now >= record.reachProofFrom
        && record.storeAnsweredAt < record.reachProofFrom;
    if (!isSilent && !proofIsDue) {
        nextTakeover = Instant();
        return;
    }
    // 3. Nodes that miss the same confirmation do not ask all at once: the first answer spreads to the others.
    if (nextTakeover == Instant())
        nextTakeover = now + std::chrono::duration_cast<Duration>(random.unit() * takeoverSpread());
    if (now < nextTakeover)
        return;
    nextTakeover = now + random.jittered(std::max(settings.takeoverRetry, takeoverSpread()), 0.5);
    readManifest(now, effects);
}

PendingCall Dissemination::State::newCall(Instant now, Duration patience) { return { ++lastTicket, now + patience }; }

// Asks the store for the next change of the manifest. Each end of a watch confirms the number as of its beginning.
void Dissemination::State::watchManifest(Instant now, Effects& effects)
{
    if (manifestWatch.waits(now))
        return;
    manifestWatch = newCall(now, settings.watchPatience + settings.answerTimeout);
    const auto ticket = manifestWatch.ticket;
    effects.storeCalls.push_back([self = shared_from_this(), ticket, now, version = seenVersion] {
        self->objects.watch(self->settings.manifestObject, version, self->settings.watchPatience,
            [weak = std::weak_ptr(self), ticket, now](const StoreResult<StoredObject>& result) {
                if (const auto self = weak.lock())
                    self->watchEnded(ticket, result, now);
            });
    });
}

void Dissemination::State::watchEnded(uint64_t ticket, const StoreResult<StoredObject>& result, Instant askedAt)
{
    {
        std::lock_guard guard(lock);
        if (manifestWatch.ticket == ticket)
            manifestWatch = result ? PendingCall()
                                   : PendingCall { ticket, clock.now() + random.jittered(settings.failureWait, 0.5) };
        // A watcher's stand-in that gets no answer from the store is of no use to others.
        if (!result)
            takeoverUntil = Instant();
    }
    manifestArrived(result, askedAt);
}

// Reads an object, unless an earlier reading is still waited for, and hands it on with the time of the asking.
void Dissemination::State::readObject(
    std::string_view name, PendingCall State::*call, Arrival arrived, Instant now, Effects& effects)
{
    if ((this->*call).waits(now))
        return;
    this->*call = newCall(now, settings.answerTimeout);
    const auto ticket = (this->*call).ticket;
    effects.storeCalls.push_back([self = shared_from_this(), name, call, arrived, ticket, now] {
        self->objects.get(
            name, [weak = std::weak_ptr(self), call, arrived, ticket, now](const StoreResult<StoredObject>& result) {
                const auto self = weak.lock();
                if (!self)
                    return;
                {
                    std::lock_guard guard(self->lock);
                    if ((self.get()->*call).ticket == ticket)
                        self.get()->*call = {};
                }
                (self.get()->*arrived)(result, now);
            });
    });
}

// Reads the manifest beside a watch that has gone silent, or where nobody else could be asked for it.
void Dissemination::State::readManifest(Instant now, Effects& effects)
{
    nextManifestRead = now + random.jittered(settings.silenceLimit, 0.2);
    readObject(settings.manifestObject, &State::manifestRead, &State::manifestArrived, now, effects);
}

void Dissemination::State::manifestArrived(const StoreResult<StoredObject>& result, Instant askedAt)
{
    if (!result) {
        // Without a configuration nothing can be served. Where there is none yet, the watchers will see it.
        run([&](Effects&) {
            storeHasAnswered = storeHasAnswered || result.error() == StoreError::NotFound;
            firstFetch = std::min(firstFetch, clock.now());
            if (!heldNumber())
                nextManifestRead = std::min(nextManifestRead, clock.now() + random.jittered(settings.failureWait, 0.5));
        });
        return;
    }
    run([&](Effects& effects) {
        storeHasAnswered = true;
        const auto& object = result.value();
        nextManifestRead = clock.now() + random.jittered(settings.silenceLimit, 0.2);
        seenVersion = std::max(seenVersion, object.version);
        const bool wasSilent = noteStoreAnswer(askedAt);
        if (object.version > judgedVersion)
            judge(object, effects);
        if (confirm(object.version, askedAt) && wasSilent)
            beginTakeover(clock.now());
    });
}

// The store reaches this node. Returns whether nobody had confirmed the configuration for too long.
bool Dissemination::State::noteStoreAnswer(Instant askedAt)
{
    return board.configuration().updateFreshness([&](FreshnessRecord& record) {
        record.storeAnsweredAt = std::max(record.storeAnsweredAt, askedAt);
        return isUnconfirmed(record, clock.now());
    });
}

// Goes on to watch the store in place of silent watchers. Where its answer confirms nothing, watching would not help:
// the watchers wait for operators to write.
void Dissemination::State::beginTakeover(Instant now)
{
    if (isWatcher || now < firstWatch || takeoverUntil != Instant())
        return;
    takeoverUntil = now + random.jittered(settings.takeoverTerm, 0.5);
    board.counters().add(Counter::WatchTakeovers);
}

// The latest manifest confirms the configuration in force, unless members go by a newer one: that it is older shows a
// stale read, or a store that was restored and that operators have not written to again. Returns whether it confirms.
bool Dissemination::State::confirm(StoreVersion version, Instant askedAt)
{
    if (version != judgedVersion || !judgedMayConfirm)
        return false;
    return board.configuration().updateFreshness([&](FreshnessRecord& record) {
        if (record.newestNumber > heldNumber() || judgedNumber.value_or(record.newestNumber) < record.newestNumber)
            return false;
        record.confirmedAt = std::max(record.confirmedAt, askedAt);
        record.storeReachable = true;
        return true;
    });
}

// A rejected manifest is reported; one in force speaks for itself.
void Dissemination::State::judge(const StoredObject& object, Effects& effects)
{
    auto checked = codec.check(object.value);
    const auto number = checked.number.value_or(object.version.number);
    const bool isReused = checked.declarations && isInForceOtherwise(number, checked);
    judgedVersion = object.version;
    judgedNumber = checked.declarations ? std::optional(number) : std::nullopt;
    judgedMayConfirm = !isReused;
    if (isReused)
        logNotAdopted("configuration-number-reused", number, object.version);
    else if (checked.declarations && number < heldNumber())
        logNotAdopted("configuration-older", number, object.version);
    const auto found = take(number, std::move(checked), effects);
    if (found.empty())
        return;
    statusDue = object.version;
    statusText = statusFor(object.version, heldNumber(), found);
}

// Whether the number is that of the configuration in force, and the content another.
bool Dissemination::State::isInForceOtherwise(uint64_t number, const CheckedManifest& checked) const
{
    return number == heldNumber() && contentHashOf(hashesOf(checked.sections)) != store.contentHash();
}

void Dissemination::State::logNotAdopted(std::string_view event, uint64_t number, StoreVersion version) const
{
    log(LogLevel::Warning, event,
        { { "number", number }, { "in-force", heldNumber() }, { "store-era", version.era },
            { "store-version", version.number } });
}

// --- Status -------------------------------------------------------------------------------------------------------

// Reports the latest verdict, unless somebody else has: reads the status object, and writes it if it tells of less.
void Dissemination::State::writeStatus(Instant now, Effects& effects)
{
    if (statusDue == absentVersion || statusCall.waits(now))
        return;
    readObject(manifestStatusObject, &State::statusCall, &State::statusArrived, now, effects);
}

void Dissemination::State::statusArrived(const StoreResult<StoredObject>& result, Instant)
{
    if (!result && result.error() != StoreError::NotFound)
        return;
    run([&](Effects& effects) {
        if (result && versionOfStatus(result.value().value) >= statusDue) {
            statusDue = absentVersion;
            return;
        }
        // A write that fails is found out by the next reading.
        statusCall = newCall(clock.now(), settings.answerTimeout);
        const auto expected = result ? result.value().version : absentVersion;
        effects.storeCalls.push_back([self = shared_from_this(), text = statusText, expected] {
            self->objects.put(manifestStatusObject, text, expected, [](const StoreResult<StoreVersion>&) {});
        });
    });
}

} // namespace Vanillaridge

// The platform's side: who watches, what is read when, and what is reported back.
#include "dissemination/DisseminationState.h"

#include <algorithm>
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

    std::string statusFor(uint64_t number, uint64_t inForce, std::span<const std::string> errors)
    {
        auto text = "number = " + std::to_string(number)
            + "\nverdict = " + (errors.empty() ? "\"accepted\"" : "\"rejected\"")
            + "\nin-force = " + std::to_string(inForce) + "\nerrors = [";
        for (const auto& error : errors.first(std::min(errors.size(), errorsTold)))
            text += "\n    " + quoted(error) + ",";
        return text + (errors.empty() ? "]\n" : "\n]\n");
    }

    // The number that a status object tells of; 0 when it tells of none.
    uint64_t numberOfStatus(std::string_view text)
    {
        constexpr std::string_view start = "number = ";
        if (!text.starts_with(start))
            return 0;
        text.remove_prefix(start.size());
        return manifestHeadFromText(text.substr(0, text.find('\n'))).value_or(0);
    }

} // namespace

// Finds the watchers of all zones by rendezvous hashing. A suspected one is replaced at once; two too many do no harm.
void Dissemination::State::reviewDuty(Instant now)
{
    const auto duty = stableHash(watchDuty);
    std::map<ZoneName, std::vector<std::pair<uint64_t, uint64_t>>> zones;
    board.members().forEach([&](NodeId id, const MemberRecord& record) {
        if (record.said.state == MemberState::Alive)
            zones[record.said.zone].emplace_back(dutyScore(id, duty), id.value);
    });
    watchers.clear();
    for (auto& [zone, members] : zones) {
        const auto count = std::min<size_t>(settings.watchersPerZone, members.size());
        std::partial_sort(
            members.begin(), members.begin() + static_cast<std::ptrdiff_t>(count), members.end(), std::greater<>());
        for (size_t i = 0; i < count; ++i)
            watchers.push_back({ members[i].second });
    }
    const auto watched = isWatcher;
    isWatcher = watchers.empty() || std::find(watchers.begin(), watchers.end(), selfId) != watchers.end();
    if (board.draining())
        isWatcher = false;
    if (isWatcher && !watched)
        nextHeadRead = now;
}

PendingCall Dissemination::State::newCall(Instant now, Duration patience) { return { ++lastTicket, now + patience }; }

// Asks the platform to tell of the next change of the head. An unanswered watch is given up after its patience, and
// the reads go on beside it, so that a silent one delays nothing.
void Dissemination::State::watchHead(Instant now, Effects& effects)
{
    if (headWatch.waits(now))
        return;
    headWatch = newCall(now, settings.watchPatience + settings.answerTimeout);
    effects.platformCalls.push_back(
        [self = shared_from_this(), ticket = headWatch.ticket, version = headObjectVersion] {
            self->platform.watch(manifestHeadObject, version, self->settings.watchPatience,
                [weak = std::weak_ptr(self), ticket](const PlatformResult<StoredObject>& result) {
                    const auto self = weak.lock();
                    if (!self)
                        return;
                    {
                        std::lock_guard guard(self->lock);
                        // After a failure the next watch waits as long as the next read.
                        if (self->headWatch.ticket == ticket)
                            self->headWatch = result
                                ? PendingCall()
                                : PendingCall { ticket, self->clock.now() + self->settings.confirmPeriod };
                    }
                    // When it was read is not known; only what it says counts.
                    if (result)
                        self->headArrived(result, Instant());
                });
        });
}

// Reads an object, unless an earlier reading is still waited for, and hands it on with the time of the asking.
void Dissemination::State::readObject(
    std::string_view name, PendingCall State::*call, Arrival arrived, Instant now, Effects& effects)
{
    if ((this->*call).waits(now))
        return;
    this->*call = newCall(now, settings.answerTimeout);
    const auto ticket = (this->*call).ticket;
    effects.platformCalls.push_back([self = shared_from_this(), name, call, arrived, ticket, now] {
        self->platform.get(
            name, [weak = std::weak_ptr(self), call, arrived, ticket, now](const PlatformResult<StoredObject>& result) {
                const auto self = weak.lock();
                if (!self)
                    return;
                {
                    std::lock_guard guard(self->lock);
                    if ((self.get()->*call).ticket == ticket)
                        self.get()->*call = {};
                }
                if (!result && result.error() != PlatformError::NotFound)
                    self->board.counters().add(Counter::PlatformFailures);
                (self.get()->*arrived)(result, now);
            });
    });
}

void Dissemination::State::readHead(Instant now, Effects& effects)
{
    nextHeadRead = now + random.jittered(settings.confirmPeriod, 0.1);
    readObject(manifestHeadObject, &State::headRead, &State::headArrived, now, effects);
}

void Dissemination::State::headArrived(const PlatformResult<StoredObject>& result, Instant askedAt)
{
    std::lock_guard guard(lock);
    if (!result)
        return;
    const auto version = manifestHeadFromText(result.value().value);
    if (!version)
        return;
    headObjectVersion = std::max(headObjectVersion, result.value().version);
    considerHead(*version, askedAt);
}

// A head that tells of nothing newer confirms the configuration in force; an older one is a stale read.
void Dissemination::State::considerHead(uint64_t head, Instant askedAt)
{
    if (head != headVersion) {
        headVersion = head;
        headSeenAt = clock.now();
    }
    const auto judged = std::max(heldNumber(), rejected);
    board.configuration().updateFreshness([&](FreshnessRecord& record) {
        if (head > judged || head < record.newestNumber || record.newestNumber > judged)
            return;
        record.confirmedAt = std::max(record.confirmedAt, askedAt);
        record.platformReachable = true;
    });
}

// The watchers' order for reading a version, so that a big manifest is not read by all of them at once.
uint32_t Dissemination::State::rankAsReader(uint64_t version) const
{
    const auto own = dutyScore(selfId, version);
    return static_cast<uint32_t>(std::count_if(
        watchers.begin(), watchers.end(), [&](NodeId watcher) { return dutyScore(watcher, version) > own; }));
}

// Reads the manifest when its head tells of a new version and the turn has come, or when it has not been read for long.
void Dissemination::State::readManifest(Instant now, Effects& effects)
{
    if (manifestRead.waits(now))
        return;
    const auto isNew = headVersion > std::max(heldNumber(), rejected);
    const auto turn = rankAsReader(headVersion) / std::max(settings.readersAtOnce, 1u);
    const auto isTurn = isNew && now >= nextTurnRead && now - headSeenAt >= turn * settings.readerStep;
    if (!isTurn && now < nextManifestRead)
        return;
    const auto period = settings.manifestPeriod * static_cast<int>(std::max<size_t>(watchers.size(), 1));
    nextTurnRead = now + settings.confirmPeriod;
    nextManifestRead = now + random.jittered(heldNumber() > 0 ? period : settings.confirmPeriod, 0.5);
    readObject(manifestObject, &State::manifestRead, &State::manifestArrived, now, effects);
}

void Dissemination::State::manifestArrived(const PlatformResult<StoredObject>& result, Instant askedAt)
{
    if (!result)
        return;
    run([&](Effects& effects) {
        const auto& object = result.value();
        if (object.version > std::max(heldNumber(), rejected))
            judge(object, effects);
        // An operator's process may have ended between the manifest and its head.
        if (object.version > headVersion)
            writeHead(object.version, effects);
        considerHead(std::max(object.version, headVersion), askedAt);
    });
}

void Dissemination::State::judge(const StoredObject& object, Effects& effects)
{
    const auto found = take(object.version, codec.check(object.value), effects);
    statusDue = object.version;
    statusText = statusFor(object.version, heldNumber(), found);
}

void Dissemination::State::writeHead(uint64_t version, Effects& effects)
{
    effects.platformCalls.push_back([self = shared_from_this(), version, expected = headObjectVersion] {
        self->platform.put(manifestHeadObject, manifestHeadText(version), expected,
            [weak = std::weak_ptr(self)](const PlatformResult<uint64_t>& result) {
                const auto self = weak.lock();
                // Whoever was faster wrote the same or more; a lost answer shows in the next read.
                if (self && !result && result.error() == PlatformError::Conflict)
                    self->board.counters().add(Counter::PlatformConflicts);
            });
    });
}

// --- Status -------------------------------------------------------------------------------------------------------

// Reports the latest verdict, unless somebody else has: reads the status object, and writes it if it tells of less.
void Dissemination::State::writeStatus(Instant now, Effects& effects)
{
    if (statusDue == 0 || statusCall.waits(now))
        return;
    readObject(manifestStatusObject, &State::statusCall, &State::statusArrived, now, effects);
}

void Dissemination::State::statusArrived(const PlatformResult<StoredObject>& result, Instant)
{
    if (!result && result.error() != PlatformError::NotFound)
        return;
    run([&](Effects& effects) {
        if (result && numberOfStatus(result.value().value) >= statusDue) {
            statusDue = 0;
            return;
        }
        // A write that fails is found out by the next reading.
        statusCall = newCall(clock.now(), settings.answerTimeout);
        const auto expected = result ? result.value().version : absentVersion;
        effects.platformCalls.push_back([self = shared_from_this(), text = statusText, expected] {
            self->platform.put(manifestStatusObject, text, expected, [](const PlatformResult<uint64_t>&) {});
        });
    });
}

} // namespace Vanillaridge

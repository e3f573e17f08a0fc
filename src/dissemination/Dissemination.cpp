#include "dissemination/DisseminationState.h"

#include "log/Log.h"

#include <algorithm>

namespace Vanillaridge {

Dissemination::State::State(Board& board, const Clock& clock, RandomSource& random, ObjectStore& objects,
    const ManifestCodec& codec, DisseminationSettings settings)
    : board(board)
    , clock(clock)
    , random(random)
    , objects(objects)
    , codec(codec)
    , settings(settings)
    , selfId(board.self().id())
    , store(settings.listsKept)
{
    // Everything that starts at once must not read the store at once.
    const auto now = clock.now();
    nextReview = now + random.jittered(settings.startSpread, 1);
    nextManifestRead = nextReview;
    firstWatch = now + settings.joinDelay;
    firstFetch = nextReview + settings.answerTimeout;
}

void Dissemination::State::carryOut(Effects& effects)
{
    for (auto& message : effects.messages)
        board.outbox().post(std::move(message.to), std::move(message.message));
    for (const auto& call : effects.storeCalls)
        call();
    if (effects.adopted && listener)
        listener(effects.adopted);
}

void Dissemination::State::tick(Instant now, Effects& effects)
{
    // 1. See who watches, once in a while.
    if (now >= nextReview) {
        nextReview = now + settings.reviewPeriod;
        reviewedAt = now;
        reviewDuty();
    }
    // 2. Watchers look at the store, and so does every node once at its start: a peer may be behind, and a key that was
    // withdrawn must not work again after a restart.
    const bool isOnDuty = (isWatcher && reviewedAt >= firstWatch) || now < takeoverUntil;
    const bool isStarting = !storeHasAnswered && now < firstWatch;
    if (now >= firstWatch)
        reviewSilence(now, effects);
    if (isOnDuty)
        watchManifest(now, effects);
    if ((isOnDuty || isStarting) && now >= nextManifestRead)
        readManifest(now, effects);
    writeStatus(now, effects);
    board.configuration().updateFreshness(
        [&](FreshnessRecord& record) { record.storeEra = std::max(record.storeEra, objects.era().value_or(0)); });
    // 3. Whoever is behind fetches.
    noteBehind(now);
    if (storeHasAnswered || now >= firstFetch)
        fetch(now, effects);
}

// Whether members go by a newer configuration. A number that nobody holds, since it was found bad, is not waited for.
void Dissemination::State::noteBehind(Instant now)
{
    board.configuration().updateFreshness([&](FreshnessRecord& record) {
        const auto behind = record.newestNumber > heldNumber();
        if (!behind)
            record.behindSince = Instant();
        else if (record.behindSince == Instant())
            record.behindSince = now;
    });
}

void Dissemination::State::logRejected(uint64_t number, std::string_view error) const
{
    log(LogLevel::Error, "configuration-rejected",
        { { "number", number }, { "in-force", heldNumber() }, { "error", error } });
}

// Puts a checked manifest in force, unless it is bad or not newer.
std::vector<std::string> Dissemination::State::take(uint64_t number, CheckedManifest checked, Effects& effects)
{
    if (!checked.declarations) {
        board.counters().add(Counter::ConfigurationsRejected);
        const auto errors
            = checked.errors.empty() ? std::vector<std::string> { "the manifest cannot be read" } : checked.errors;
        logRejected(number, errors.front());
        return errors;
    }
    auto next = std::make_shared<const Configuration>(number, std::move(*checked.declarations));
    if (!board.configuration().adopt(next))
        return {};
    store.hold(number, std::move(checked.sections));
    board.configuration().updateFreshness([&](FreshnessRecord& record) {
        record.newestNumber = std::max(record.newestNumber, number);
        record.contentHash = store.contentHash();
    });
    board.counters().add(Counter::ConfigurationsAdopted);
    effects.adopted = std::move(next);
    return {};
}

Dissemination::Dissemination(Board& board, const Clock& clock, RandomSource& random, ObjectStore& objects,
    const ManifestCodec& codec, DisseminationSettings settings)
    : m_state(std::make_shared<State>(board, clock, random, objects, codec, settings))
{
}

Dissemination::~Dissemination() = default;

void Dissemination::onAdopted(Listener listener) { m_state->listener = std::move(listener); }

void Dissemination::tick()
{
    m_state->run([&](auto& effects) { m_state->tick(m_state->clock.now(), effects); });
}

std::vector<std::string> Dissemination::adopt(uint64_t number, std::string_view text)
{
    auto checked = m_state->codec.check(text);
    std::vector<std::string> errors;
    m_state->run([&](auto& effects) { errors = m_state->take(number, std::move(checked), effects); });
    return errors;
}

void Dissemination::receive(const Endpoint& from, const SectionListRequest& request)
{
    m_state->run([&](auto& effects) { m_state->handle(from, request, effects); });
}

void Dissemination::receive(const Endpoint& from, const SectionList& list)
{
    m_state->run([&](auto& effects) { m_state->handle(from, list, m_state->clock.now(), effects); });
}

void Dissemination::receive(const Endpoint& from, const SectionRequest& request)
{
    m_state->run([&](auto& effects) { m_state->handle(from, request, effects); });
}

void Dissemination::receive(const Endpoint& from, const SectionReply& reply)
{
    m_state->run([&](auto& effects) { m_state->handle(from, reply, m_state->clock.now(), effects); });
}

bool Dissemination::watching() const
{
    std::lock_guard guard(m_state->lock);
    return m_state->isWatcher || m_state->clock.now() < m_state->takeoverUntil;
}

} // namespace Vanillaridge

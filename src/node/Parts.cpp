#include "node/Parts.h"

namespace Vanillaridge {

void AdmissionWaiters::add(const AttemptId& attempt, Tell tell)
{
    m_waiting.update(attempt, [&](Tell& present) { present = std::move(tell); });
    m_count.fetch_add(1);
}

void AdmissionWaiters::remove(const AttemptId& attempt)
{
    if (m_waiting.erase(attempt))
        m_count.fetch_sub(1);
}

void AdmissionWaiters::tell(std::span<const AdmissionChange> changes)
{
    for (const auto& change : changes) {
        Tell tell;
        m_waiting.visit(change.attempt, [&](const Tell& present) { tell = present; });
        if (tell)
            tell(change.decision);
    }
}

Controllers::Controllers(Board& board, SystemClock& clock, RandomSource& random, ObjectStore& objects,
    const ManifestCodec& codec, const Settings& settings, const std::string& manifestObject)
    : localServers(board, clock)
    , membership(board, clock, random, settings.membership)
    , directory(board, clock, random, objects, {})
    , witness(board, clock, random, {})
    , dissemination(board, clock, random, objects, codec, { .manifestObject = manifestObject })
    , freshness(board, clock, {})
    , intake(board, clock)
    , quota(board, clock, random, objects, settings.quota)
    , retry(board, clock, random)
    , entry(board, clock, random, freshness, retry)
    , placement(board, clock, random, settings.placement)
    , admission(board, clock, random)
    , guardLedger(board, clock)
    , entryLedger(board)
    , duplicates(board, clock)
{
}

} // namespace Vanillaridge

#include "verdict/Verdict.h"

#include <cstring>

namespace Vanillaridge {

namespace {

    // Half of a SHA-256 over both, so that nobody can find a key that meets somebody else's.
    DuplicateKey keyOf(std::string_view account, std::string_view key)
    {
        std::string both = std::to_string(account.size()) + ":";
        both += account;
        both += key;
        const auto digest = digestOfKey(both);
        DuplicateKey result;
        std::memcpy(&result.high, digest.data(), sizeof result.high);
        std::memcpy(&result.low, digest.data() + sizeof result.high, sizeof result.low);
        return result;
    }

} // namespace

Duplicates::Duplicates(Board& board, const Clock& clock, DuplicateLimits limits)
    : m_board(board)
    , m_clock(clock)
    , m_limits(limits)
{
}

Earlier Duplicates::begin(std::string_view account, std::string_view key, const RequestId& request)
{
    const bool hasRoom = m_remembered.fetch_add(1, std::memory_order_relaxed) < m_limits.keys;
    const auto id = keyOf(account, key);
    const auto earlier = m_board.duplicates().with(id, [&](auto& map) -> Earlier {
        const auto found = map.find(id);
        if (found != map.end())
            return { found->second.answered ? DuplicateKind::Answered : DuplicateKind::InProgress,
                found->second.status };
        if (!hasRoom)
            return { DuplicateKind::NoRoom, 0 };
        map.emplace(id, DuplicateRecord { request, false, 0, {} });
        return {};
    });
    if (earlier.kind != DuplicateKind::First)
        m_remembered.fetch_sub(1, std::memory_order_relaxed);
    return earlier;
}

void Duplicates::end(
    std::string_view account, std::string_view key, const RequestId& request, Outcome outcome, uint16_t status)
{
    const auto id = keyOf(account, key);
    const Instant forgetAt = m_clock.now() + memory();
    const bool forgotten = m_board.duplicates().with(id, [&](auto& map) {
        const auto found = map.find(id);
        if (found == map.end() || found->second.request != request || found->second.answered)
            return false;
        if (outcome == Outcome::NotRun) {
            map.erase(found);
            return true;
        }
        found->second.answered = true;
        found->second.status = status;
        found->second.forgetAt = forgetAt;
        return false;
    });
    if (forgotten)
        m_remembered.fetch_sub(1, std::memory_order_relaxed);
}

void Duplicates::expire()
{
    const Instant now = m_clock.now();
    const size_t forgotten = m_board.duplicates().eraseIf(
        [&](const DuplicateKey&, const DuplicateRecord& record) { return record.answered && record.forgetAt <= now; });
    m_remembered.fetch_sub(forgotten, std::memory_order_relaxed);
}

Duration Duplicates::memory() const
{
    const auto configuration = m_board.configuration().inForce();
    return configuration ? configuration->policy().duplicateMemory : Policy().duplicateMemory;
}

} // namespace Vanillaridge

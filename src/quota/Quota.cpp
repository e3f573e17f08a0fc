#include "quota/Quota.h"

#include "quota/Pools.h"

#include <fmt/format.h>

namespace Vanillaridge {

namespace {

    // How often the members are read and the leases looked after. A request waits for a quarter of a second at most,
    // and must see a new holder within it.
    constexpr Duration directoryInterval = milliseconds(100);
    constexpr Duration leaseInterval = milliseconds(200);

} // namespace

std::string_view toText(QuotaCause cause)
{
    constexpr std::array<std::string_view, static_cast<size_t>(QuotaCause::Count)> names { "none", "out-of-tokens",
        "no-answer", "queue-full", "not-declared", "stopping" };
    return names[static_cast<size_t>(cause)];
}

std::string toText(const QuotaEvidence& evidence)
{
    if (evidence.cause == QuotaCause::None)
        return {};
    const auto inMilliseconds = [](Duration span) { return std::chrono::duration_cast<milliseconds>(span).count(); };
    return fmt::format("{}:held={:.2f},pulled={:.2f},waiting={},waited={}ms,blocked={}ms", toText(evidence.cause),
        evidence.tokens, evidence.pulled, evidence.waiting, inMilliseconds(evidence.waited),
        inMilliseconds(evidence.blocked));
}

struct Quota::Parts {
    Parts(Board& board, Clock& clock, RandomSource& random, ObjectStore& objects, const QuotaSettings& settings)
        : board(board)
        , clock(clock)
        , settings(settings)
        , startedAt(clock.now())
        , slots(std::make_shared<Slots>(board, clock, random, objects, this->settings))
        , pools(board, clock, random, this->settings, *slots)
    {
    }

    void refresh(Instant now);
    void adoptConfiguration(Instant now);
    void readMembers(Instant now);
    void advanceLeases(Instant now);

    Board& board;
    Clock& clock;
    const QuotaSettings settings;
    const Instant startedAt;
    const std::shared_ptr<Slots> slots;
    Pools pools;

    std::mutex lock;
    ConfigurationPointer configuration;
    std::shared_ptr<const QuotaPlans> plans;
    std::shared_ptr<const HolderDirectory> directory;
    Instant membersReadAt { Instant::min() };
    Instant leasesAdvancedAt { Instant::min() };
    std::atomic<bool> ready { false };
};

// Draws up plans when another configuration is in force.
void Quota::Parts::adoptConfiguration(Instant now)
{
    auto current = board.configuration().inForce();
    if (!current || current == configuration)
        return;
    configuration = std::move(current);
    plans = drawUpPlans(configuration->declarations(), settings, plans.get(), configuration->number(), now);
    slots->adopt(*plans, now);
}

void Quota::Parts::readMembers(Instant now)
{
    if (directory && now - membersReadAt < directoryInterval)
        return;
    membersReadAt = now;
    directory
        = std::make_shared<const HolderDirectory>(board, settings.slots, now, settings.handoverDelay, directory.get());
}

// Brings plans and members up to date, and hands them to the pools.
void Quota::Parts::refresh(Instant now)
{
    std::lock_guard guard(lock);
    adoptConfiguration(now);
    readMembers(now);
    pools.adopt(plans, directory);
    ready = plans != nullptr;
}

// Slots are taken where this node is the preferred one and no live member says it holds them; while the node does not
// know all members, only those that its own earlier run held.
void Quota::Parts::advanceLeases(Instant now)
{
    std::shared_ptr<const QuotaPlans> currentPlans;
    std::shared_ptr<const HolderDirectory> members;
    {
        std::lock_guard guard(lock);
        if (!plans || (leasesAdvancedAt != Instant::min() && now - leasesAdvancedAt < leaseInterval))
            return;
        leasesAdvancedAt = now;
        currentPlans = plans;
        members = directory;
    }
    const bool isJoining = now - startedAt < settings.joinDelay;
    const bool leases = currentPlans->strategy->usesLeases();
    if (leases)
        slots->findOwn();
    slots->advance(
        currentPlans->strategy->leaseTerm(settings),
        [&](uint32_t slot) {
            const bool isFree = members->prefersSelf(slot) && members->holders(slot).empty();
            return leases && isFree && (!isJoining || slots->heldBefore(slot));
        },
        [&](uint32_t slot) { return !leases || members->prefersOther(slot); });
}

Quota::Quota(Board& board, Clock& clock, RandomSource& random, ObjectStore& objects, const QuotaSettings& settings)
    : m_parts(std::make_shared<Parts>(board, clock, random, objects, settings))
{
}

Quota::~Quota() = default;

QuotaDecision Quota::take(std::string_view account, QuotaCallback whenDecided)
{
    if (!m_parts->ready)
        m_parts->refresh(m_parts->clock.now());
    return m_parts->pools.take(account, std::move(whenDecided));
}

void Quota::giveBack(std::string_view account, const QuotaDecision& decision)
{
    m_parts->pools.giveBack(account, decision);
}

void Quota::receive(const Endpoint& from, const QuotaPull& pull) { m_parts->pools.receive(from, pull); }

void Quota::receive(const Endpoint&, const QuotaGrant& grant) { m_parts->pools.receive(grant); }

void Quota::receive(const Endpoint&, const QuotaReturn& given) { m_parts->pools.receive(given); }

void Quota::tick()
{
    const Instant now = m_parts->clock.now();
    m_parts->refresh(now);
    m_parts->advanceLeases(now);
    m_parts->pools.tick();
}

void Quota::release()
{
    m_parts->slots->release();
    m_parts->pools.refuseWaiting();
}

bool Quota::released() const { return m_parts->slots->released(); }

std::vector<uint32_t> Quota::heldSlots() const { return m_parts->slots->held(); }

QuotaStatus Quota::status() const
{
    std::lock_guard guard(m_parts->lock);
    const std::string name(m_parts->plans ? m_parts->plans->strategy->name() : std::string_view());
    return { name, heldSlots(), m_parts->pools.status() };
}

} // namespace Vanillaridge

#include "quota/Slots.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace Vanillaridge {

namespace {

    // Wait after a call that failed, and how far it is spread.
    constexpr Duration failureWait = seconds(1);
    constexpr double failureJitter = 0.5;
    // How far renewals are spread, as a part of their interval.
    constexpr double renewalJitter = 0.1;
    // How far reading leases back is spread when another era of the store begins.
    constexpr Duration readBackSpread = milliseconds(500);
    // Shortest time between two slots that a node hands over.
    constexpr Duration handoverSpacing = milliseconds(500);

    constexpr std::string_view slotsKind = "quota-slots";

    std::string objectName(uint32_t slot, uint32_t slots) { return fmt::format("{}/{}-of-{}", slotsKind, slot, slots); }

    // Whether the object says that another run of this node holds its slot.
    bool isHeldByEarlierRun(const StoredObject& object, const Identity& self)
    {
        const auto record = leaseRecordFromText(object.value);
        return record && record->held && record->node == self.id() && record->holder != self.boot;
    }

} // namespace

Slots::Slots(Board& board, Clock& clock, RandomSource& random, ObjectStore& objects, const QuotaSettings& settings)
    : m_board(board)
    , m_clock(clock)
    , m_random(random)
    , m_store(objects)
    , m_settings(settings)
    , m_startedAt(clock.now())
{
}

// The lease is checked under the slot's lock before the draw and again after it: a pause in between loses tokens.
std::optional<QuotaDraw> Slots::draw(uint32_t slot, const QuotaPlan& plan, uint64_t pull, double wanted, double least)
{
    const auto index = plan.indexOf(slot, m_settings.slots);
    if (!index)
        return std::nullopt;
    const bool local = slot >= m_settings.slots;
    return m_slots.with(slot, [&](auto& map) -> std::optional<QuotaDraw> {
        const auto found = local ? map.try_emplace(slot).first : map.find(slot);
        if (found == map.end())
            return std::nullopt;
        auto& state = found->second;
        const Instant now = m_clock.now();
        if (local)
            state.since = m_startedAt;
        else if (!usable(state, now))
            return std::nullopt;
        auto& bucket = bucketOf(state, plan, *index, now);
        const auto draw = bucket.draw(pull, wanted, least, now);
        m_board.counters().add(Counter::QuotaTokensCreated, static_cast<uint64_t>(bucket.takeCreated()));
        if (!local && !usable(state, m_clock.now()))
            return std::nullopt;
        return draw;
    });
}

bool Slots::giveBack(uint32_t slot, const QuotaPlan& plan, uint64_t pull, double total)
{
    bool held = false;
    m_slots.visit(slot, [&](Slot& state) {
        const Instant now = m_clock.now();
        held = slot >= m_settings.slots || usable(state, now);
        const auto found = state.buckets.find(plan.accountHash);
        if (!held || found == state.buckets.end() || !found->second.follows(plan))
            return;
        const double returned = found->second.giveBack(pull, total, now);
        m_board.counters().add(Counter::QuotaTokensReturned, static_cast<uint64_t>(std::llround(returned)));
    });
    return held;
}

// A bucket that nobody asked for yet is taken to exist, empty, since the slot is held or new in the plan.
Bucket& Slots::bucketOf(Slot& state, const QuotaPlan& plan, uint32_t index, Instant now)
{
    const auto start = index >= plan.firstNewIndex ? plan.newSince : Instant::min();
    const auto [found, created] = state.buckets.try_emplace(plan.accountHash, plan, std::max(state.since, start));
    auto& bucket = found->second;
    if (!created && !bucket.follows(plan))
        bucket.adopt(plan, now);
    bucket.emptyBefore(start);
    return bucket;
}

// Every bucket sees every change, so that none fills at a rate that was not in force. Those of accounts that are gone
// are dropped: if an account comes back, its buckets start empty.
void Slots::adopt(const QuotaPlans& plans, Instant now)
{
    m_slots.forEach([&](uint32_t, Slot& state) {
        std::erase_if(state.buckets, [&](const auto& entry) { return !plans.byHash.contains(entry.first); });
        for (auto& [hash, bucket] : state.buckets) {
            const auto& plan = *plans.byHash.at(hash);
            if (!bucket.follows(plan))
                bucket.adopt(plan, now);
        }
    });
}

void Slots::findOwn()
{
    const Instant now = m_clock.now();
    if (now < m_nextList.load())
        return;
    m_nextList = now + m_random.jittered(failureWait, failureJitter);
    m_store.list(slotsKind, [weak = weak_from_this()](const StoreResult<std::vector<StoredObject>>& result) {
        if (const auto self = weak.lock())
            self->onList(result);
    });
}

// What a list shows may be old. It is only used to take a slot at the version that it shows, which fails if the slot
// has changed since.
void Slots::onList(const StoreResult<std::vector<StoredObject>>& result)
{
    if (!result)
        return;
    m_nextList = Instant::max();
    for (uint32_t slot = 0; slot < m_settings.slots; ++slot) {
        const auto object = std::ranges::find(result.value(), objectName(slot, m_settings.slots), &StoredObject::name);
        if (object == result.value().end() || !isHeldByEarlierRun(*object, m_board.self()))
            continue;
        m_slots.update(slot, [&](Slot& state) {
            state.heldBefore = true;
            if (state.phase == Phase::Idle && !state.calling)
                onObject(state, *object, m_clock.now());
        });
    }
}

bool Slots::heldBefore(uint32_t slot)
{
    bool before = false;
    m_slots.visit(slot, [&](const Slot& state) { before = state.heldBefore; });
    return before;
}

void Slots::noteEra(Instant now)
{
    const auto told = m_store.era();
    if (!told)
        return;
    // What others have told counts from the next call on: what was written so far may be of an earlier era.
    const auto before = m_era.load();
    const auto era = before == unknownEra ? *told : std::max(*told, m_board.configuration().freshness().storeEra);
    if (before == unknownEra || before >= era) {
        m_era = before == unknownEra ? era : before;
        return;
    }
    m_restoredAt = now;
    m_era = era;
    m_slots.forEach([&](uint32_t, Slot& state) {
        if (state.phase != Phase::Held && state.phase != Phase::Observing)
            return;
        state.unsure = true;
        state.nextCall = now + m_random.jittered(readBackSpread, 1);
    });
}

Duration Slots::longestTerm() const { return std::max(m_settings.leaseTerm, m_settings.ownerLeaseTerm); }

bool Slots::isOutdated(const StoredObject& object, const std::optional<LeaseRecord>& record, Instant now) const
{
    if (!object.version.isAbsent())
        return record.value_or(LeaseRecord()).era < object.version.era;
    const auto restoredAt = m_restoredAt.load();
    return restoredAt != Instant::min() && now - restoredAt < longestTerm();
}

void Slots::advance(Duration term, const SlotTest& wanted, const SlotTest& better)
{
    const Instant now = m_clock.now();
    noteEra(now);
    for (uint32_t slot = 0; slot < m_settings.slots; ++slot) {
        const bool wants = wanted(slot);
        const bool handsOver = now >= m_nextHandover.load() && better(slot);
        StoreVersion version;
        std::string value;
        const auto step = m_slots.with(slot, [&](auto& map) {
            const auto found = wants ? map.try_emplace(slot).first : map.find(slot);
            if (found == map.end())
                return Step::None;
            auto& state = found->second;
            const auto next = begin(state, nextStep(state, now, wants, handsOver), term);
            version = state.version;
            value = toText(LeaseRecord {
                next != Step::Free, m_board.self().boot, m_board.self().id(), state.nonce, state.term, version.era });
            return next;
        });
        if (step == Step::Free)
            m_nextHandover = now + handoverSpacing;
        call(slot, step, version, value);
    }
}

// What a lease needs next, without doing it.
Slots::Step Slots::nextStep(Slot& state, Instant now, bool wanted, bool handsOver) const
{
    if (state.calling)
        return Step::None;
    if (state.phase == Phase::Held && (m_releasing || (handsOver && !state.unsure)))
        state.phase = Phase::Releasing;
    else if (now < state.nextCall)
        return Step::None;
    if (state.phase == Phase::Idle)
        return wanted && !m_releasing ? Step::Read : Step::None;
    if (state.unsure)
        return Step::Read;
    if (state.phase == Phase::Held)
        return Step::Renew;
    if (state.phase == Phase::Releasing)
        return Step::Free;
    if (!wanted || m_releasing) {
        state.phase = Phase::Idle;
        return Step::None;
    }
    return now - state.observedAt >= state.observedTerm ? Step::Take : Step::None;
}

// Notes what is about to be sent. The term counts from here, before the call leaves.
Slots::Step Slots::begin(Slot& state, Step step, Duration term)
{
    if (step == Step::None)
        return step;
    state.calling = true;
    if (step == Step::Take || step == Step::Renew) {
        state.nonce = std::max<uint64_t>(1, m_random.next());
        state.term = term;
        state.sentAt = m_clock.now();
    } else if (step == Step::Free)
        state.nonce = 0;
    return step;
}

// Makes the call, outside any lock.
void Slots::call(uint32_t slot, Step step, StoreVersion version, const std::string& value)
{
    if (step == Step::None)
        return;
    const auto name = objectName(slot, m_settings.slots);
    if (step == Step::Read) {
        m_store.get(name, [weak = weak_from_this(), slot](const StoreResult<StoredObject>& result) {
            if (const auto self = weak.lock())
                self->onRead(slot, result);
        });
        return;
    }
    m_store.put(name, value, version, [weak = weak_from_this(), slot, step](const StoreResult<StoreVersion>& result) {
        if (const auto self = weak.lock())
            self->onWritten(slot, step, result);
    });
}

void Slots::onRead(uint32_t slot, const StoreResult<StoredObject>& result)
{
    m_slots.visit(slot, [&](Slot& state) {
        const Instant now = m_clock.now();
        state.calling = false;
        if (result)
            onObject(state, result.value(), now);
        else if (result.error() == StoreError::NotFound)
            onObject(state, { {}, { m_store.era().value_or(0), 0 }, toText(LeaseRecord {}) }, now);
        else
            backOff(state, now);
    });
}

void Slots::onWritten(uint32_t slot, Step step, const StoreResult<StoreVersion>& result)
{
    m_slots.visit(slot, [&](Slot& state) {
        const Instant now = m_clock.now();
        state.calling = false;
        if (!result) {
            state.unsure = result.error() != StoreError::Unreachable && result.error() != StoreError::TooManyCalls;
            if (state.unsure && state.phase == Phase::Observing)
                state.phase = Phase::Idle;
            if (!state.unsure || state.phase == Phase::Idle)
                backOff(state, now);
            return;
        }
        if (step == Step::Free) {
            lose(state);
            backOff(state, now);
        } else if (step == Step::Take)
            hold(state, result.value(), now);
        else
            extend(state, result.value());
    });
}

// Judges what the object says, whether read on purpose or to learn what became of a write. The reading may be stale:
// it never extends a lease beyond what the write that it shows is worth.
void Slots::onObject(Slot& state, const StoredObject& object, Instant now)
{
    const auto record = leaseRecordFromText(object.value);
    const bool own = record && record->held && record->holder == m_board.self().boot;
    const bool holding = state.phase == Phase::Held || state.phase == Phase::Releasing;
    state.unsure = false;
    const bool outdated = isOutdated(object, record, now);
    if (holding && object.version <= state.version) {
        backOff(state, now);
        return;
    }
    // Nobody else can have taken the slot while this lease runs: the next write renews it on top of the backup.
    if (holding && outdated && now < state.validUntil) {
        state.version = object.version;
        state.nextCall = now;
        return;
    }
    if (own && !outdated && (holding || record->nonce == state.nonce)) {
        onOwnObject(state, object, record->nonce == state.nonce, now);
        return;
    }
    if (holding) {
        if (state.phase == Phase::Held)
            m_board.counters().add(Counter::QuotaLeasesLost);
        lose(state);
        return;
    }
    // An earlier run of this very node has ended: this one has its addresses. Nobody else's term can be cut short.
    const bool isPredecessor = record && record->held && record->node == m_board.self().id() && !own;
    const auto term = record && !outdated ? record->term : longestTerm();
    observe(state, object.version, isPredecessor && !outdated ? Duration(0) : term, now);
}

// A write of this run has taken effect. Only the last one's time of sending is known, so only that one extends.
void Slots::onOwnObject(Slot& state, const StoredObject& object, bool isLastWrite, Instant now)
{
    if (state.phase != Phase::Held && state.phase != Phase::Releasing)
        hold(state, object.version, now);
    else if (isLastWrite && state.nonce)
        extend(state, object.version);
    else
        state.version = object.version;
}

void Slots::observe(Slot& state, StoreVersion version, Duration term, Instant now)
{
    state.phase = Phase::Observing;
    state.version = version;
    state.observedAt = now;
    state.observedTerm = term;
}

// Becomes the holder, with empty buckets.
void Slots::hold(Slot& state, StoreVersion version, Instant now)
{
    state.phase = m_releasing ? Phase::Releasing : Phase::Held;
    state.since = now;
    state.buckets.clear();
    extend(state, version);
    m_board.counters().add(Counter::QuotaLeasesAcquired);
}

// The last write took effect: the term counts from when it was sent.
void Slots::extend(Slot& state, StoreVersion version)
{
    const double interval = static_cast<double>(state.term.count()) * m_settings.renewalFraction;
    state.version = version;
    state.unsure = false;
    state.validUntil = state.sentAt + state.term - m_settings.safetyMargin;
    state.nextCall = state.sentAt + m_random.jittered(Duration(static_cast<Duration::rep>(interval)), renewalJitter);
    if (state.phase == Phase::Releasing)
        state.nextCall = Instant::min();
}

void Slots::lose(Slot& state)
{
    state.phase = Phase::Idle;
    state.unsure = false;
    state.nonce = 0;
    state.buckets.clear();
}

void Slots::backOff(Slot& state, Instant now) { state.nextCall = now + m_random.jittered(failureWait, failureJitter); }

void Slots::release()
{
    m_releasing = true;
    const auto none = [](uint32_t) { return false; };
    advance(m_settings.leaseTerm, none, none);
}

bool Slots::released()
{
    bool clean = m_releasing;
    m_slots.forEach([&](uint32_t slot, const Slot& state) {
        const bool mine = state.phase == Phase::Held || state.phase == Phase::Releasing || state.calling;
        clean = clean && (slot >= m_settings.slots || !mine);
    });
    return clean;
}

std::vector<uint32_t> Slots::held()
{
    const Instant now = m_clock.now();
    std::vector<uint32_t> slots;
    m_slots.forEach([&](uint32_t slot, const Slot& state) {
        if (usable(state, now))
            slots.push_back(slot);
    });
    std::ranges::sort(slots);
    return slots;
}

} // namespace Vanillaridge

/// A small fleet in memory for checking histories: entries and guards with the real ledgers, and between them a network
/// that delays, loses and repeats. What backend servers really started is kept beside what callers were told.
#pragma once

#include "TruthGuards.h"

namespace Vanillaridge {

class TruthWorld : private TruthGuards {
public:
    TruthWorld()
    {
        for (size_t i = 0; i < nodeCount; ++i) {
            boot(m_entries[i], "entry-" + std::to_string(i));
            boot(m_guards[i], "guard-" + std::to_string(i));
            m_entries[i].clock.offset = std::chrono::hours(1 + i);
            m_guards[i].clock.offset = std::chrono::hours(10 + i);
        }
    }

    void take(const Step& step)
    {
        static constexpr std::array<void (TruthWorld::*)(const Step&), static_cast<size_t>(Action::Count)> actions {
            &TruthWorld::submit, &TruthWorld::deliverToGuard, &TruthWorld::deliverToEntry, &TruthWorld::start,
            &TruthWorld::answer, &TruthWorld::failBackend, &TruthWorld::refuse, &TruthWorld::passTime,
            &TruthWorld::passLongTime, &TruthWorld::leave, &TruthWorld::cut, &TruthWorld::silence, &TruthWorld::repeat,
            &TruthWorld::cross, &TruthWorld::restartEntry, &TruthWorld::restartGuard, &TruthWorld::freeze
        };
        (this->*actions[static_cast<size_t>(step.action)])(step);
    }

    /// Lets everything that is still under way come to its end.
    void settle()
    {
        for (size_t i = 0; i < nodeCount; ++i)
            m_entries[i].frozen = m_guards[i].frozen = false;
        constexpr int rounds = 12;
        for (int round = 0; round < rounds; ++round) {
            // Deliveries may add links behind the present one.
            for (size_t i = 0; i < m_links.size(); ++i) {
                auto& link = *m_links[i];
                link.silent = false;
                while (!link.toGuard.empty() || !link.toEntry.empty()) {
                    receiveAtGuard(link);
                    receiveAtEntry(link);
                }
            }
            for (uint32_t i = 0; i < nodeCount; ++i) {
                while (!m_guards[i].waiting.empty())
                    start({ Action::Start, i, 0 });
                while (!m_guards[i].running.empty())
                    answer({ Action::Answer, i, 0 });
            }
            advance(round % 4 ? seconds(1) : longRequestTime);
        }
    }

    const std::unordered_map<RequestId, CallerView>& callers() const { return m_callers; }
    using TruthGuards::starts;

private:
    static constexpr Duration requestTime = seconds(2);
    static constexpr Duration longRequestTime = std::chrono::minutes(10);
    static constexpr Duration verdictTime = milliseconds(500);

    // --- Lives of nodes ---

    template <typename SomeNode> void boot(SomeNode& node, const std::string& endpoint)
    {
        node.clock.base = &m_time;
        node.frozen = false;
        node.hello = { endpoint, { ++m_lastBoot }, { static_cast<uint8_t>(m_lastBoot) }, 1 };
        node.board = std::make_unique<Board>(Identity { endpoint, "zone", node.hello.boot, { m_lastBoot } });
        if constexpr (std::is_same_v<SomeNode, Guard>)
            node.ledger = std::make_unique<GuardLedger>(*node.board, node.clock);
        else
            node.ledger = std::make_unique<EntryLedger>(*node.board);
    }

    void restartEntry(const Step& step)
    {
        auto& entry = m_entries[step.who % nodeCount];
        for (auto& [request, own] : entry.requests)
            m_callers[request].gone = true;
        entry.requests.clear();
        for (auto& link : m_links) {
            if (&m_entries[link->entry] != &entry || !link->entryOpen)
                continue;
            link->entryOpen = false;
            link->toEntry.clear();
            link->toGuard.push_back({});
        }
        boot(entry, entry.hello.endpoint);
    }

    void restartGuard(const Step& step)
    {
        auto& guard = m_guards[step.who % nodeCount];
        guard.waiting.clear();
        guard.running.clear();
        for (auto& link : m_links) {
            if (&m_guards[link->guard] != &guard || !link->guardOpen)
                continue;
            link->guardOpen = false;
            link->toGuard.clear();
            link->toEntry.push_back({});
        }
        boot(guard, guard.hello.endpoint);
    }

    void freeze(const Step& step)
    {
        auto& frozen = step.detail % 2 ? m_guards[step.who % nodeCount].frozen : m_entries[step.who % nodeCount].frozen;
        frozen = !frozen;
    }

    void passTime(const Step& step) { advance(milliseconds(step.detail % 900)); }
    void passLongTime(const Step& step) { advance(seconds(1 + step.detail % 40)); }

    // Moves time on, and lets every node that is not frozen do what is due.
    void advance(Duration passed)
    {
        m_time.advance(passed);
        for (auto& guard : m_guards) {
            if (!guard.frozen)
                guard.ledger->expire();
        }
        for (size_t i = 0; i < nodeCount; ++i) {
            if (!m_entries[i].frozen)
                endWhatIsDue(i);
        }
    }

    void endWhatIsDue(size_t index)
    {
        auto& entry = m_entries[index];
        const auto now = entry.clock.now();
        const auto requests = entry.requests;
        for (const auto& [request, own] : requests) {
            if (own.verdictDeadline > Instant() && own.verdictDeadline <= now)
                act(index, own.attempt,
                    entry.ledger->judged({ own.attempt, VerdictKind::Unknown }, mayRetry(index, request)));
            else if (own.deadline <= now)
                act(index, own.attempt, entry.ledger->ended(own.attempt, AttemptEnd::TimedOut, false));
        }
    }

    // --- Network ---

    Link& connect(size_t entry, size_t guard)
    {
        auto& link = *m_links.emplace_back(std::make_unique<Link>());
        link.entry = entry;
        link.guard = guard;
        link.toGuard.push_back({ 0, m_entries[entry].hello });
        return link;
    }

    Link& linkBetween(size_t entry, size_t guard)
    {
        for (auto& link : m_links) {
            if (link->entry == entry && link->guard == guard && link->entryOpen && !link->asksAbout)
                return *link;
        }
        return connect(entry, guard);
    }

    void deliverToGuard(const Step& step)
    {
        withLink(
            step, [&](Link& link) { return !link.toGuard.empty() && !link.silent && !m_guards[link.guard].frozen; },
            [&](Link& link) { receiveAtGuard(link); });
    }

    void deliverToEntry(const Step& step)
    {
        withLink(
            step, [&](Link& link) { return !link.toEntry.empty() && !link.silent && !m_entries[link.entry].frozen; },
            [&](Link& link) { receiveAtEntry(link); });
    }

    void cut(const Step& step)
    {
        withLink(
            step, [](Link& link) { return link.entryOpen && link.guardOpen; },
            [&](Link& link) {
                link.toEntry = { Parcel {} };
                if (step.detail % 2)
                    link.toGuard.clear();
                link.toGuard.push_back({});
            });
    }

    void silence(const Step& step)
    {
        withLink(
            step, [](Link&) { return true; }, [](Link& link) { link.silent = !link.silent; });
    }

    // --- Entries ---

    void submit(const Step& step)
    {
        const size_t index = step.who % nodeCount;
        auto& entry = m_entries[index];
        if (entry.frozen)
            return;
        const RequestId request { NodeId::of(entry.hello.endpoint), entry.hello.boot, ++entry.sequence };
        RequestContext context;
        context.attempt.request = request;
        context.idempotent = step.detail % 2;
        m_callers[request].idempotent = context.idempotent;
        const auto deadline = entry.clock.now() + (step.detail / 4 % 4 ? requestTime : longRequestTime);
        entry.ledger->open(context, deadline, std::nullopt, true);
        entry.requests[request].deadline = deadline;
        beginAttempt(index, request, step.detail / 2 % nodeCount);
    }

    void beginAttempt(size_t index, const RequestId& request, size_t guard)
    {
        auto& entry = m_entries[index];
        const auto stamp = entry.clock.now().time_since_epoch();
        const auto attempt = entry.ledger->beginAttempt(request, m_guards[guard].hello.boot, stamp);
        if (!attempt)
            return;
        auto& own = entry.requests[request];
        own.guard = guard;
        own.attempt = *attempt;
        own.verdictDeadline = {};
        auto& link = linkBetween(index, guard);
        link.pending.push_back(*attempt);
        if (link.guardHello)
            sendPending(link);
    }

    void sendPending(Link& link)
    {
        auto& entry = m_entries[link.entry];
        for (const auto& attempt : std::exchange(link.pending, {})) {
            OpenRequest open;
            bool stillWanted = false;
            entry.board->entries().visit(attempt.request, [&](const EntryRecord& record) {
                stillWanted = record.context.attempt == attempt;
                open.context = record.context;
                open.guard = record.guard;
                open.context.remaining = record.deadline - entry.clock.now();
            });
            open.sentAt = entry.clock.now().time_since_epoch();
            if (!stillWanted)
                continue;
            if (open.guard != link.guardHello->boot) {
                const bool retry = mayRetry(link.entry, attempt.request);
                act(link.entry, attempt, entry.ledger->ended(attempt, AttemptEnd::NeverSent, retry));
                continue;
            }
            m_sent.push_back({ link.entry, link.guard, open });
            sendOpen(link, open);
        }
        for (const auto& open : std::exchange(link.repeats, {}))
            sendOpen(link, open);
    }

    void sendOpen(Link& link, const OpenRequest& open)
    {
        link.streams[++m_lastStream] = open.context.attempt;
        link.toGuard.push_back({ m_lastStream, open });
    }

    void repeat(const Step& step)
    {
        if (m_sent.empty())
            return;
        const auto& sent = m_sent[step.who % m_sent.size()];
        connect(sent.entry, sent.guard).repeats.push_back(sent.open);
    }

    void receiveAtEntry(Link& link)
    {
        if (link.toEntry.empty())
            return;
        auto parcel = std::move(link.toEntry.front());
        link.toEntry.pop_front();
        if (!link.entryOpen)
            return;
        if (!parcel.message)
            loseLink(link);
        else if (const auto* hello = std::get_if<Hello>(&*parcel.message))
            shakeHands(link, *hello);
        else if (const auto* reply = std::get_if<VerdictReply>(&*parcel.message))
            act(link.entry, reply->attempt,
                m_entries[link.entry].ledger->judged(*reply, mayRetry(link.entry, reply->attempt.request)));
        else if (const auto expected = link.streams.find(parcel.stream); expected != link.streams.end())
            receiveAnswer(link, parcel, expected->second);
    }

    void receiveAnswer(Link& link, const Parcel& parcel, const AttemptId& expected)
    {
        auto& ledger = *m_entries[link.entry].ledger;
        if (const auto* refusal = std::get_if<Refusal>(&*parcel.message)) {
            act(link.entry, expected, ledger.refused(expected, *refusal, mayRetry(link.entry, expected.request)));
        } else if (const auto* head = std::get_if<AnswerHead>(&*parcel.message)) {
            if (ledger.takeAnswer(expected, *head))
                link.answering.insert(parcel.stream);
        } else if (const auto* chunk = std::get_if<BodyChunk>(&*parcel.message)) {
            if (!link.answering.contains(parcel.stream) || !m_entries[link.entry].requests.contains(expected.request))
                return;
            m_callers[expected.request].answer += chunk->bytes;
            if (!chunk->last)
                return;
            ledger.finishAnswer(expected);
            tell(link.entry, expected.request, Reason::None);
        }
    }

    void shakeHands(Link& link, const Hello& hello)
    {
        auto& entry = m_entries[link.entry];
        link.guardHello = hello;
        link.toGuard.push_back({ 0, Ready { entry.clock.now().time_since_epoch() } });
        sendPending(link);
        if (!link.asksAbout)
            return;
        if (const auto query = entry.ledger->verdictQuery(*link.asksAbout))
            link.toGuard.push_back({ 0, *query });
    }

    void loseLink(Link& link)
    {
        auto& ledger = *m_entries[link.entry].ledger;
        link.entryOpen = false;
        for (const auto& attempt : std::exchange(link.pending, {}))
            act(link.entry, attempt,
                ledger.ended(attempt, AttemptEnd::NeverSent, mayRetry(link.entry, attempt.request)));
        for (const auto& [stream, attempt] : std::exchange(link.streams, {}))
            act(link.entry, attempt,
                ledger.ended(attempt, AttemptEnd::ConnectionLost, mayRetry(link.entry, attempt.request)));
        if (link.asksAbout)
            act(link.entry, *link.asksAbout, ledger.judged({ *link.asksAbout, VerdictKind::Unknown }, false));
    }

    bool mayRetry(size_t index, const RequestId& request)
    {
        const auto found = m_entries[index].requests.find(request);
        return found != m_entries[index].requests.end() && found->second.retriesLeft > 0
            && found->second.deadline > m_entries[index].clock.now();
    }

    // Does what was decided, if anything was.
    void act(size_t index, AttemptId attempt, const std::optional<Decision>& decision)
    {
        const auto found = m_entries[index].requests.find(attempt.request);
        if (!decision || found == m_entries[index].requests.end())
            return;
        auto& own = found->second;
        if (decision->step == NextStep::TryAnotherServer) {
            --own.retriesLeft;
            beginAttempt(index, attempt.request, (own.guard + 1) % nodeCount);
        } else if (decision->step == NextStep::AskForVerdict) {
            own.verdictDeadline = m_entries[index].clock.now() + verdictTime;
            connect(index, own.guard).asksAbout = attempt;
        } else {
            tell(index, attempt.request, decision->reason);
        }
    }

    void tell(size_t index, const RequestId& request, Reason reason)
    {
        auto& caller = m_callers[request];
        caller.told = reason;
        caller.isTold = true;
        close(index, request);
    }

    void close(size_t index, const RequestId& request)
    {
        m_entries[index].ledger->close(request);
        m_entries[index].requests.erase(request);
    }

    void leave(const Step& step)
    {
        const size_t index = step.who % nodeCount;
        auto& requests = m_entries[index].requests;
        if (requests.empty() || m_entries[index].frozen)
            return;
        const auto request = std::next(requests.begin(), static_cast<ptrdiff_t>(step.detail % requests.size()))->first;
        m_callers[request].gone = true;
        close(index, request);
    }

    ManualClock m_time;
    std::array<Entry, nodeCount> m_entries;
    std::vector<SentOpen> m_sent;
    std::unordered_map<RequestId, CallerView> m_callers;
    uint64_t m_lastBoot { 0 };
    uint64_t m_lastStream { 0 };
};

} // namespace Vanillaridge

/// A few nodes with the real controllers, each before a fake backend server with slots and work to do, and a chain of
/// services through them. Events stand in for messages; there is no more of a cluster than the controllers can see.
#pragma once

#include "FakeNode.h"
namespace Vanillaridge {

/// What a whole request came to.
struct TreeEnd {
    bool served { false };
    Reason reason { Reason::None };
    Duration work { 0 };
};

class FakeFleet {
public:
    using Done = std::function<void(const TreeEnd&)>;

    FakeFleet(EventQueue& events, FleetSettings settings)
        : m_events(events)
        , m_settings(std::move(settings))
        , m_random(makeSeededRandom(m_settings.seed))
    {
        for (uint32_t tier = 0; tier < m_settings.tiers.size(); ++tier)
            m_declarations.services.push_back(
                { .name = serviceOf(tier), .slots = m_settings.tiers[tier].slots, .slowStart = seconds(0) });
        m_declarations.policy.overload = m_settings.policy;
        const auto configuration = std::make_shared<const Configuration>(1, m_declarations);
        for (uint32_t tier = 0; tier < m_settings.tiers.size(); ++tier) {
            for (uint32_t i = 0; i < m_settings.tiers[tier].servers; ++i)
                m_nodes.push_back(makeNode(tier, i, configuration));
        }
        for (auto& node : m_nodes)
            announce(*node);
        refreshAll();
        tick();
    }

    /// One caller's request at a node drawn at random.
    void call(std::string_view account, Importance importance, Duration patience, Done done)
    {
        auto& entry = entryForCaller();
        auto tree = std::make_shared<Tree>();
        tree->deadline = m_events.now() + patience;
        tree->done = std::move(done);
        RequestContext context;
        context.attempt.request = { entry.board.self().id(), entry.board.self().boot, ++m_sequence };
        context.account = account;
        context.rank = Rank::of(importance);
        context.idempotent = true;
        context.treeHash = mixHash(m_settings.seed, m_sequence);
        m_events.after(callerDelay, [this, &entry, tree, context] {
            enter(entry, tree, context, 0, {}, [this, tree](Reason reason, uint32_t) {
                m_events.after(callerDelay, [this, tree, reason] { close(*tree, reason); });
            });
        });
    }

    /// Makes the servers of a tier that many times slower; 1 for as usual.
    void slow(uint32_t tier, double factor)
    {
        for (auto& node : m_nodes) {
            if (node->tier == tier)
                node->slowness = factor;
        }
    }

    /// Every server of a tier whose index is below `count` is replaced: new generation, and slow until warmed up.
    void restart(uint32_t tier, uint32_t count, double slowness, Duration warmUp)
    {
        for (auto& node : m_nodes) {
            if (node->tier != tier || node->index >= count)
                continue;
            ++node->generation;
            node->slowness = slowness;
            announce(*node);
            m_events.after(warmUp, [&node = *node] { node.slowness = 1; });
        }
        refreshAll();
    }

    /// A server fails all it gets at once, while its announcement stays healthy.
    void lie(uint32_t tier, uint32_t index, bool lies)
    {
        for (auto& node : m_nodes) {
            if (node->tier == tier && node->index == index)
                node->lies = lies;
        }
    }

    /// Nodes of a zone neither answer nor get anything.
    void silence(uint32_t zone, bool silent)
    {
        for (auto& node : m_nodes) {
            if (node->zone == zone)
                node->silent = silent;
        }
    }

    /// Work done at the backend servers so far, and attempts made at a tier.
    Duration workDone() const { return m_work; }
    uint64_t attempts(uint32_t tier) const { return m_attempts.at(tier); }

    /// Fails every attempt that reaches the last tier, as lost connections.
    bool failsAtEnd = false;

private:
    static constexpr Duration callerDelay = milliseconds(1);
    static constexpr Duration localDelay = microseconds(100);
    static constexpr Duration tickPeriod = milliseconds(5);
    static constexpr Duration pingTimeout = milliseconds(100);
    static constexpr Duration answerGrace = milliseconds(10);

    struct Tree {
        Instant deadline;
        Done done;
        Duration work { 0 };
        bool closed { false };
    };
    using TreePointer = std::shared_ptr<Tree>;
    using Reply = std::function<void(Reason, uint32_t retriesUsed)>;
    using Node = FakeNode;
    // One attempt of a call, on its way.
    struct Call {
        TreePointer tree;
        RequestContext context;
        uint32_t tier;
        RouteName parentRoute;
        Reply reply;
        std::vector<NodeId> tried;
        uint32_t lent { 0 };
    };
    using CallPointer = std::shared_ptr<Call>;

    static ServiceName serviceOf(uint32_t tier) { return "service-" + std::to_string(tier); }
    static RouteName routeOf(uint32_t tier) { return "route-" + std::to_string(tier); }

    std::unique_ptr<Node> makeNode(uint32_t tier, uint32_t index, const ConfigurationPointer& configuration)
    {
        const auto number = m_nodes.size() + 1;
        const auto zone = uint32_t(index % m_settings.zones);
        const Identity identity { "10.0.0." + std::to_string(number) + ":7000", "zone-" + std::to_string(zone),
            { number }, { 1 } };
        auto node = std::make_unique<Node>(identity, m_events, m_settings, mixHash(m_settings.seed, number));
        node->tier = tier;
        node->index = index;
        node->zone = zone;
        node->board.configuration().adopt(configuration);
        return node;
    }

    void announce(Node& node)
    {
        const auto& service = serviceOf(node.tier);
        const ServerAnnouncement announcement { service, node.generation, m_settings.tiers[node.tier].slots, false };
        node.board.localServers().update(
            service, [&](LocalServerRecord& server) { server.announcement = announcement; });
        for (auto& other : m_nodes) {
            other->board.members().update(node.board.self().id(), [&](MemberRecord& member) {
                member.said.endpoint = node.board.self().endpoint;
                member.said.zone = node.board.self().zone;
                member.said.servers = { announcement };
            });
        }
    }

    void refreshAll()
    {
        for (auto& node : m_nodes)
            node->placement.refresh();
    }

    void tick()
    {
        for (auto& node : m_nodes)
            settle(*node);
        m_events.after(tickPeriod, [this] { tick(); });
    }

    Duration delay(const Node& from, const Node& to) const
    {
        return from.zone == to.zone ? localDelay : m_settings.zoneDelay;
    }

    // Callers that get no connection at one node go to another.
    Node& entryForCaller()
    {
        for (;;) {
            auto& node = *m_nodes[m_random->below(m_nodes.size())];
            if (!node.silent)
                return node;
        }
    }

    Node* nodeOf(NodeId id)
    {
        for (auto& node : m_nodes) {
            if (node->board.self().id() == id)
                return node.get();
        }
        return nullptr;
    }

    void close(Tree& tree, Reason reason)
    {
        if (std::exchange(tree.closed, true))
            return;
        const bool served = reason == Reason::None && m_events.now() <= tree.deadline;
        tree.done({ served, served ? Reason::None : reason, tree.work });
    }

    // --- Entry ---

    void enter(
        Node& node, const TreePointer& tree, RequestContext context, uint32_t tier, RouteName parentRoute, Reply reply)
    {
        context.service = serviceOf(tier);
        context.route = routeOf(tier);
        if (node.placement.shedAtEntry(context)) {
            reply(Reason::ShedAtEntry, 0);
            return;
        }
        EntryRecord record;
        record.context = context;
        record.context.retriesLeft = context.depth == 1 ? Policy {}.retriesPerRequest : context.retriesLeft;
        node.board.entries().update(context.attempt.request, [&](EntryRecord& entry) { entry = record; });
        node.retry.countFirstAttempt(context.service);
        auto call = std::make_shared<Call>(
            Call { tree, std::move(context), tier, std::move(parentRoute), std::move(reply), {}, 0 });
        attempt(node, call);
    }

    void attempt(Node& node, const CallPointer& call)
    {
        const auto choice = node.placement.choose(call->context.service, call->tried);
        if (!choice) {
            finishCall(node, call, Reason::NoServer);
            return;
        }
        call->tried.push_back(choice->server.node);
        call->lent = node.retry.lendToAttempt(call->context.attempt.request);
        call->context.retriesLeft = call->lent;
        call->context.remaining = call->tree->deadline - m_events.now();
        node.placement.callStarted(*choice);
        auto& guard = *nodeOf(choice->server.node);
        const auto began = m_events.now();
        auto answered = std::make_shared<bool>(false);
        const auto end = [this, &node, call, choice = *choice, began, answered](
                             Reason reason, const LoadFeedback* feedback, std::optional<uint32_t> used) {
            if (std::exchange(*answered, true))
                return;
            node.placement.callCompleted(
                choice, { call->context, call->parentRoute, reason, feedback, m_events.now() - began });
            node.retry.returnFromAttempt(call->context.attempt.request, call->lent, used);
            concluded(node, call, reason);
        };
        m_events.after(call->context.remaining + answerGrace, [end] { end(Reason::Timeout, nullptr, std::nullopt); });
        if (guard.silent) {
            m_events.after(pingTimeout, [end] { end(Reason::PeerUnreachable, nullptr, 0); });
            return;
        }
        m_events.after(delay(node, guard), [this, &node, &guard, call, end, context = call->context] {
            guardOffer(guard, call->tree, context, [this, &node, &guard, end, context](Reason reason, uint32_t used) {
                if (guard.silent)
                    return;
                const auto feedback = guard.admission.feedback(context);
                m_events.after(delay(node, guard), [end, reason, feedback, used] { end(reason, &feedback, used); });
            });
        });
    }

    void concluded(Node& node, const CallPointer& call, Reason reason)
    {
        if (reason == Reason::None || m_events.now() >= call->tree->deadline) {
            finishCall(node, call, reason);
            return;
        }
        const auto grant = node.retry.acquireRetry(call->context.attempt.request, call->context.service, reason);
        if (!grant) {
            finishCall(node, call, reason);
            return;
        }
        call->context.attempt.number = grant->number;
        if (call->tried.size() >= m_settings.tiers[call->tier].servers)
            call->tried.clear();
        m_events.after(grant->delay, [this, &node, call] { attempt(node, call); });
    }

    void finishCall(Node& node, const CallPointer& call, Reason reason)
    {
        uint32_t used = 0;
        node.board.entries().visit(
            call->context.attempt.request, [&](EntryRecord& entry) { used = entry.retriesUsed; });
        node.board.entries().erase(call->context.attempt.request);
        call->reply(reason, used);
    }

    // --- Guard ---

    void guardOffer(Node& node, const TreePointer& tree, const RequestContext& context, Reply reply)
    {
        ++m_attempts[node.tier];
        if (node.lies) {
            reply(Reason::ConnectionLost, 0);
            return;
        }
        const auto start = [this, &node, tree, context, reply] { work(node, tree, context, reply); };
        const auto decision = node.admission.offer(context, tree->deadline);
        if (decision.verdict == AdmissionVerdict::Admitted)
            start();
        else if (decision.verdict == AdmissionVerdict::Refused)
            reply(decision.reason, 0);
        else
            node.waiting[context.attempt] = { start, [reply](Reason reason) { reply(reason, 0); } };
    }

    void settle(Node& node)
    {
        for (auto& change : node.admission.processQueues()) {
            const auto found = node.waiting.find(change.attempt);
            auto waiting = std::move(found->second);
            node.waiting.erase(found);
            if (change.decision.verdict == AdmissionVerdict::Admitted)
                waiting.start();
            else
                waiting.refuse(change.decision.reason);
        }
    }

    // --- Backend server ---

    void work(Node& node, const TreePointer& tree, const RequestContext& context, const Reply& reply)
    {
        AttemptRecord record;
        record.context = context;
        node.board.attempts().update(context.attempt, [&](AttemptRecord& attempt) { attempt = record; });
        auto start = [this, &node, tree, context, reply] { occupy(node, tree, context, reply); };
        if (node.working < m_settings.tiers[node.tier].slots) {
            ++node.working;
            start();
        } else {
            node.queued.push_back(std::move(start));
        }
    }

    // Without control nobody tells the backend server that a deadline has passed, so it works on.
    void occupy(Node& node, const TreePointer& tree, const RequestContext& context, const Reply& reply)
    {
        const double spread = 0.5 + m_random->unit();
        const auto mean = double(m_settings.tiers[node.tier].work.count());
        auto length = Duration(Duration::rep(mean * spread * node.slowness));
        const bool isCancelled
            = m_settings.admission != AdmissionStrategy::NoControl && m_events.now() + length > tree->deadline;
        if (isCancelled)
            length = std::max(Duration(0), tree->deadline - m_events.now());
        tree->work += length;
        m_work += length;
        m_events.after(length, [this, &node, tree, context, reply, isCancelled] {
            if (isCancelled)
                vacate(node, context, CompletionStatus::Cancelled, Reason::Timeout, reply);
            else if (node.tier + 1 < m_settings.tiers.size())
                callDeeper(node, tree, context, reply);
            else
                vacate(node, context, failsAtEnd ? CompletionStatus::Failed : CompletionStatus::Served,
                    failsAtEnd ? Reason::ConnectionLost : Reason::None, reply);
        });
    }

    void callDeeper(Node& node, const TreePointer& tree, const RequestContext& context, const Reply& reply)
    {
        auto child = context;
        child.attempt = { { node.board.self().id(), node.board.self().boot, ++m_sequence }, 0 };
        ++child.depth;
        child.retriesLeft = node.retry.lendToChild(context.attempt);
        const auto lent = child.retriesLeft;
        enter(node, tree, child, node.tier + 1, context.route,
            [this, &node, context, reply, lent](Reason reason, uint32_t used) {
                node.retry.returnFromChild(context.attempt, lent, used);
                // A refusal further down is the backend server's own failure to those above.
                const auto told = row(reason).worthAnotherServer ? Reason::ShedAtGuard : reason;
                vacate(node, context, reason == Reason::None ? CompletionStatus::Served : CompletionStatus::Failed,
                    told, reply);
            });
    }

    void vacate(Node& node, const RequestContext& context, CompletionStatus end, Reason reason, const Reply& reply)
    {
        node.admission.finished(context.service, context.attempt, end);
        uint32_t used = 0;
        node.board.attempts().visit(context.attempt, [&](AttemptRecord& attempt) { used = attempt.retriesUsed; });
        node.board.attempts().erase(context.attempt);
        if (node.queued.empty()) {
            --node.working;
        } else {
            auto next = std::move(node.queued.front());
            node.queued.pop_front();
            next();
        }
        reply(reason, used);
        settle(node);
    }

    EventQueue& m_events;
    FleetSettings m_settings;
    std::unique_ptr<RandomSource> m_random;
    Declarations m_declarations;
    std::vector<std::unique_ptr<Node>> m_nodes;
    uint64_t m_sequence { 0 };
    Duration m_work { 0 };
    std::map<uint32_t, uint64_t> m_attempts;
};

} // namespace Vanillaridge

#include "node/Node.h"

#include "drain/Drain.h"
#include "log/Log.h"
#include "node/Descriptors.h"
#include "node/Duties.h"
#include "node/GuardFlow.h"
#include "node/Handlers.h"
#include "node/ManifestReader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <thread>

namespace Vanillaridge {

using boost::asio::redirect_error;

namespace {

    constexpr Duration drainLookPeriod = milliseconds(20);

    // Memory that a connection takes up beside what it holds, and the share of the instance's memory for connections at
    // one address.
    constexpr uint64_t connectionBytes = 8 * 1024;
    constexpr uint64_t connectionShare = 4;

    size_t connectionsWithin(const MemoryBound& memory, size_t wished)
    {
        return static_cast<size_t>(std::clamp<uint64_t>(memory.bytes / connectionShare / connectionBytes, 1, wished));
    }

    HttpLimits httpLimits(const LimitSettings& settings, const MemoryBound& memory, size_t connections,
        BufferBudget* budget = nullptr, BufferSide side = {})
    {
        HttpLimits limits;
        limits.headBytes = static_cast<uint32_t>(settings.headSize);
        limits.headTimeout = settings.headTimeout;
        limits.pieceTimeout = settings.bodyTimeout;
        limits.idleTimeout = settings.idleTimeout;
        limits.connections = connectionsWithin(memory, connections);
        limits.budget = budget;
        limits.side = side;
        return limits;
    }

    Identity identityOf(const Settings& settings, RandomSource& random)
    {
        const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        const auto started = std::chrono::duration_cast<microseconds>(sinceEpoch).count();
        return { settings.addresses.peers, settings.zone, { random.next() }, { static_cast<uint64_t>(started) } };
    }

    /// Everything of one node. Members are made in the order in which they refer to each other.
    class Node {
    public:
        Node(const Settings&, const Integration&, std::function<SettingsResult()> reload);

        NodeEnd run();

    private:
        bool listen();
        void join();
        Task<void> awaitStop();
        Task<void> awaitReloads();
        void reload();
        void enter(StopStep);
        void giveUpDuties();
        void finishWork();
        void closeToCallers();
        void sayGoodbye();
        void end();
        OpenWork openWork() const;
        Task<void> pause(Duration);
        void reportStop(std::string_view event, LogLevel = LogLevel::Info);

        const Settings& m_settings;
        const MemoryBound m_memory;
        const DescriptorShares m_shares;
        boost::asio::io_context m_context;
        SystemClock m_clock;
        std::unique_ptr<RandomSource> m_random;
        Board m_board;
        std::unique_ptr<ObjectStore> m_store;
        ManifestReader m_manifestReader;
        Controllers m_control;
        BackendPool m_backends;
        Latencies m_latencies;
        BufferBudget m_buffers;
        LoopLag m_loopLag;
        GuardFlow m_guardFlow;
        PeerTransport m_peers;
        Parts m_parts;
        EntryFlow m_entryFlow;
        CallerHandler m_callerHandler;
        ServerHandler m_serverHandler;
        OperatorHandler m_operatorHandler;
        ReadinessHandler m_readinessHandler;
        HttpServer m_callers;
        HttpServer m_servers;
        HttpServer m_operators;
        HttpServer m_readiness;
        Duties m_duties;
        Drain m_drain;
        boost::asio::signal_set m_signals;
        boost::asio::signal_set m_hangups;
        std::function<SettingsResult()> m_reload;
    };

    Node::Node(const Settings& settings, const Integration& integration, std::function<SettingsResult()> reload)
        : m_settings(settings)
        , m_memory(instanceMemory(settings.limits.memory))
        , m_shares(shareDescriptors(availableDescriptors(settings.limits.descriptors), settings.limits.connections))
        , m_context(static_cast<int>(settings.threads))
        , m_random(makeSystemRandom())
        , m_board(identityOf(settings, *m_random))
        , m_store(integration.openStore(m_context, settings.store, m_clock, *m_random, m_board.counters()))
        , m_manifestReader(integration.readManifest)
        , m_control(m_board, m_clock, *m_random, *m_store, m_manifestReader, settings,
              std::string(integration.manifestObject))
        , m_backends(m_context, m_shares.backends)
        , m_buffers(bufferTotal(m_memory))
        , m_loopLag(m_context, m_board)
        , m_guardFlow(m_parts)
        , m_peers(m_context, m_board, m_clock, *m_random, settings.secret.reveal(), m_guardFlow)
        , m_parts { m_context, m_board, m_clock, *m_random, m_control, m_peers, m_backends, integration.dialect,
            settings, m_loopLag, m_latencies, m_buffers }
        , m_entryFlow(m_parts)
        , m_callerHandler(m_parts, m_entryFlow)
        , m_serverHandler(m_parts, m_entryFlow)
        , m_operatorHandler(m_parts)
        , m_readinessHandler(m_parts)
        , m_callers(m_context, httpLimits(settings.limits, m_memory, m_shares.callers, &m_buffers, BufferSide::Callers),
              m_callerHandler)
        , m_servers(m_context, httpLimits(settings.limits, m_memory, m_shares.servers, &m_buffers, BufferSide::Servers),
              m_serverHandler)
        , m_operators(m_context, httpLimits(settings.limits, m_memory, m_shares.pages), m_operatorHandler)
        , m_readiness(m_context, httpLimits(settings.limits, m_memory, m_shares.pages), m_readinessHandler)
        , m_duties(m_parts)
        , m_drain(m_board, m_clock, { settings.limits.drainLimit, settings.limits.stopGrace })
        , m_signals(m_context, SIGTERM, SIGINT)
        , m_hangups(m_context, SIGHUP)
        , m_reload(std::move(reload))
    {
    }

    // Opens one address; says which, if it cannot.
    template <typename Listen> bool opened(std::string_view what, const Endpoint& endpoint, Listen&& listen)
    {
        if (!listen())
            return true;
        log(LogLevel::Error, "cannot-listen", { { "address", what }, { "endpoint", endpoint } });
        return false;
    }

    bool Node::listen()
    {
        const auto& addresses = m_settings.addresses;
        return opened("peers", addresses.peers, [&] { return m_peers.start(); })
            && opened("callers", addresses.callers, [&] { return m_callers.listen(addresses.callers); })
            && opened("servers", addresses.servers, [&] { return m_servers.listen(addresses.servers); })
            && opened("operators", addresses.operators, [&] { return m_operators.listen(addresses.operators); })
            && (addresses.readiness.empty()
                || opened("readiness", addresses.readiness, [&] { return m_readiness.listen(addresses.readiness); }));
    }

    // Ties the controllers to each other's news.
    void Node::join()
    {
        m_control.membership.onChange([this](std::span<const NodeId>) { m_control.placement.refresh(); });
        m_control.directory.onContacts(
            [this](std::span<const Endpoint> contacts) { m_control.membership.contacts(contacts); });
        // What a member kept for an earlier process is written to the store, which may lack it. A process that starts
        // while the store is away may know no other member.
        m_control.witness.onRecalled([this](const Endpoint& witness) {
            m_control.membership.contacts(std::span(&witness, 1));
            m_control.directory.rememberDepartures([](bool) {});
        });
        m_control.dissemination.onAdopted([](const ConfigurationPointer& configuration) {
            log(LogLevel::Info, "configuration-adopted", { { "number", configuration->number() } });
        });
        m_control.membership.contacts(m_settings.contacts);
    }

    NodeEnd Node::run()
    {
        // 1. Addresses first: a node that cannot be reached must not announce itself.
        if (!listen())
            return NodeEnd::CouldNotStart;
        join();

        // 2. Duties and requests, until asked to stop.
        m_duties.start();
        m_loopLag.start();
        boost::asio::co_spawn(boost::asio::make_strand(m_context), awaitStop(), boost::asio::detached);
        boost::asio::co_spawn(boost::asio::make_strand(m_context), awaitReloads(), boost::asio::detached);
        log(LogLevel::Info, "node-started",
            { { "peers", m_settings.addresses.peers }, { "callers", m_settings.addresses.callers },
                { "zone", m_settings.zone }, { "caller-connections", m_shares.callers },
                { "server-connections", m_shares.servers }, { "backend-connections", m_shares.backends },
                { "memory-bytes", m_memory.bytes }, { "memory-from", toText(m_memory.source) },
                { "buffer-bytes", bufferTotal(m_memory) } });
        std::vector<std::thread> threads;
        for (uint32_t i = 1; i < m_settings.threads; ++i)
            threads.emplace_back([this] { m_context.run(); });
        m_context.run();
        for (auto& thread : threads)
            thread.join();

        // 3. Nothing runs any more.
        m_duties.stop();
        reportStop("node-stopped");
        return m_drain.limitReached() ? NodeEnd::DrainLimitReached : NodeEnd::Drained;
    }

    // A step of a planned stop, and what is still under way then. What is left at the last one has been cut.
    void Node::reportStop(std::string_view event, LogLevel level)
    {
        log(level, event,
            { { "drained", !m_drain.limitReached() }, { "exchanges", m_callers.exchanges() + m_servers.exchanges() },
                { "connections", m_callers.connections() }, { "entries", m_board.entries().size() },
                { "attempts", m_board.attempts().size() } });
    }

    Task<void> Node::awaitReloads()
    {
        boost::system::error_code error;
        while (!error) {
            co_await m_hangups.async_wait(redirect_error(useAwaitable, error));
            if (!error)
                reload();
        }
    }

    // Settings with problems change nothing.
    void Node::reload()
    {
        if (!m_reload)
            return;
        const auto settings = m_reload();
        if (!settings) {
            log(LogLevel::Error, "settings-rejected",
                { { "problems", settings.problems().size() }, { "first", toText(settings.problems().front()) } });
            return;
        }
        setLogLevel(settings.value().logLevel);
        setLogLimits(settings.value().logLimits);
        log(LogLevel::Info, "settings-reloaded", { { "log-level", toText(settings.value().logLevel) } });
    }

    // A planned stop, from the signal to the end.
    Task<void> Node::awaitStop()
    {
        boost::system::error_code ignored;
        co_await m_signals.async_wait(redirect_error(useAwaitable, ignored));
        m_drain.begin();
        auto step = StopStep::Announcing;
        enter(step);
        while (step != StopStep::Ended) {
            co_await pause(drainLookPeriod);
            const auto next = m_drain.advance(openWork());
            if (next != step)
                enter(next);
            step = next;
        }
    }

    // Carries out one step of the stop.
    void Node::enter(StopStep step)
    {
        constexpr std::array<void (Node::*)(), stopStepCount> actions { &Node::giveUpDuties, &Node::finishWork,
            &Node::closeToCallers, &Node::sayGoodbye, &Node::end };
        reportStop(toText(step));
        (this->*actions[static_cast<size_t>(step)])();
    }

    OpenWork Node::openWork() const { return { m_callers.connections() + m_servers.exchanges(), m_peers.unsent() }; }

    Task<void> Node::pause(Duration time)
    {
        boost::asio::steady_timer timer(m_context, time);
        boost::system::error_code ignored;
        co_await timer.async_wait(redirect_error(useAwaitable, ignored));
    }

    // Duties that others can take up are given up at once.
    void Node::giveUpDuties() { m_control.quota.release(); }

    void Node::finishWork() { m_callers.closeAfterReplies(); }

    void Node::closeToCallers() { m_callers.drain(); }

    // A backend server can tell its node that it leaves for as long as there is somebody to tell others.
    void Node::sayGoodbye()
    {
        m_servers.drain();
        if (m_drain.limitReached())
            reportStop("drain-limit-reached", LogLevel::Warning);
        m_control.membership.leave();
    }

    void Node::end()
    {
        m_peers.stop();
        m_duties.stop();
        m_context.stop();
    }

} // namespace

const Integration& ownIntegration()
{
    static const Integration s_integration { ownDialect(),
        [](std::string_view text) { return checkManifest(text, "manifest"); }, defaultManifestObject,
        [](boost::asio::io_context& context, const StoreSettings& settings, const Clock&, RandomSource&, Counters&) {
            return std::unique_ptr<ObjectStore>(std::make_unique<FileStore>(context, settings.manifest));
        } };
    return s_integration;
}

NodeEnd runNode(const Settings& settings, const Integration& integration, std::function<SettingsResult()> reload)
{
    setLogLevel(settings.logLevel);
    setLogLimits(settings.logLimits);
    return Node(settings, integration, std::move(reload)).run();
}

} // namespace Vanillaridge

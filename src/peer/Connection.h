/// One authenticated TCP connection between two nodes, with many streams.
#pragma once

#include "peer/Streams.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <unordered_map>

namespace Vanillaridge {

using Tcp = boost::asio::ip::tcp;
using PeerSocket = boost::asio::basic_stream_socket<Tcp, Strand>;
using ErrorCode = boost::system::error_code;

class Connection;

/// What the connections of one node share.
struct PeerContext {
    boost::asio::io_context& context;
    Board& board;
    const Clock& clock;
    RandomSource& random;
    Authenticator authenticator;
    PeerHandler& handler;
    PeerSettings settings;
    /// Told of each connection that another node has made, once it has proved who it is.
    std::function<void(const Connection&)> onAccepted;

    Hello hello() const;
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
    /// One that another node made.
    Connection(std::shared_ptr<PeerContext>, PeerSocket);
    /// One to be made by startConnecting().
    /// \param known the boot that members tell of at the endpoint, if any
    explicit Connection(std::shared_ptr<PeerContext>, std::optional<BootId> known = {});

    /// Connects and shakes hands, then reads until the connection ends.
    void startConnecting(Endpoint);
    /// Shakes hands on a connection that was accepted, then reads until it ends.
    void startAccepting();
    /// Whether the connection is ready for messages, waiting for it if it is still being made.
    Task<bool> ready();

    std::shared_ptr<QueuedStream> openStream();
    void closeStream(uint64_t stream);
    /// Appends a message to what is to be written. False when the connection is not, or no longer, ready.
    bool send(uint64_t stream, const StreamMessage&);
    /// Closes the socket; streams are told.
    /// \param why what a log line says of it
    void close(std::string_view why = "closed");

    /// Whether new streams need another connection.
    bool refusesStreams() const { return m_state.load() >= State::Silent; }
    bool lost() const { return m_state.load() == State::Lost; }
    /// Whether messages wait to be written.
    bool hasUnsent();
    /// Set once pieces of bodies may be added again, or the connection is lost; null when nothing has to be waited for.
    std::shared_ptr<Event> waitForRoom();
    /// Only once the connection has been ready.
    const Hello& peer() const { return m_session->peer(); }
    /// Whether this connection leads to an earlier process at the other's endpoint, or to a machine that had the
    /// endpoint before.
    bool isOutlivedBy(const Connection& other) const;
    /// The same, judged by the boot that members tell of at the endpoint now.
    bool isOutlivedBy(std::optional<BootId> known) const;

private:
    enum class State : uint8_t {
        Connecting,
        Ready,
        /// Nothing is heard; only streams that wait through silence are left.
        Silent,
        Lost,
    };
    using Waiter = Event;

    static Task<void> runConnect(std::shared_ptr<Connection>, Endpoint);
    static Task<void> runAccept(std::shared_ptr<Connection>);
    Task<void> connect(const Endpoint&);
    Task<void> accept();
    Task<bool> shakeHands();
    void limitBeginning();
    Task<std::optional<size_t>> fillFrame();
    std::span<const std::byte, frameHeaderSize> frameHeader() const;
    Bytes takePayload(size_t length);
    Task<std::optional<Frame>> readFrame();
    Task<bool> fill(size_t bytes);
    Task<std::optional<Hello>> readHello();
    Task<void> readMessages();
    void startWatching();
    static Task<void> watch(std::shared_ptr<Connection>);
    Task<void> keepWatch();
    void writeNext();
    void handle(Frame);
    void handle(uint64_t stream, OpenRequest);
    void handle(uint64_t stream, const VerdictQuery&);
    bool isOpen() const;
    void becomeReady();
    void becomeSilent();
    void noteHeard();
    /// \param why what a log line says of the end of a connection that was ready
    void becomeLost(std::string_view why);
    void reportLost(std::string_view why) const;
    void wake(std::vector<std::shared_ptr<Waiter>>);
    void wakeForRoom();
    bool silentFor(Duration) const;
    size_t streamCount();
    void handle(const Pong&);
    void ping(Instant now);

    const std::shared_ptr<PeerContext> m_peers;
    const std::optional<BootId> m_knownBoot;
    Strand m_strand;
    PeerSocket m_socket;
    boost::asio::steady_timer m_watchTimer;
    std::atomic<State> m_state { State::Connecting };

    // Reading, on the strand only.
    std::vector<std::byte> m_input;
    size_t m_inputStart { 0 };
    size_t m_inputEnd { 0 };
    std::optional<PeerClock> m_clockOfPeer;
    Instant m_challengedAt;
    const Instant m_madeAt;
    Instant m_usedAt;
    std::atomic<Duration::rep> m_heardAt { 0 };
    // Whether a control message has been sent and nothing received since.
    std::atomic<bool> m_needsLivenessCheck { false };
    std::optional<uint64_t> m_unansweredPing;
    Instant m_pingedAt;
    Instant m_watchedAt;
    uint64_t m_pings { 0 };

    // Streams.
    std::mutex m_streamsLock;
    std::unordered_map<uint64_t, std::shared_ptr<QueuedStream>> m_streams;
    uint64_t m_lastStream { controlStream };
    std::vector<std::shared_ptr<Waiter>> m_waiters;

    // Writing. Frames are sealed under the lock, so that their numbers keep their order.
    std::mutex m_writeLock;
    std::optional<Session> m_session;
    std::string m_pending;
    // Bodies that wait for room in it.
    std::vector<std::shared_ptr<Waiter>> m_roomWaiters;
    bool m_isWriting { false };
    // What the socket is being given, on the strand only.
    std::string m_writing;
};

} // namespace Vanillaridge

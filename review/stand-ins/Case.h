// What the scripts of the review share: nodes as processes, the platform's store, and small servers and callers over
// blocking sockets. A case is one function; see runCase().
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Milliseconds since the start of the case.
int64_t sinceStart();
void sleepUntil(int64_t milliseconds);

// Writes one line, with the time, to record.txt.
void record(const std::string& line);
// A condition without which the case says nothing; ends it with status 2.
void require(bool holds, const std::string& what);
// Notes that the rule was broken.
void broken(const std::string& what);
// Whether the case is to be played with its disruption.
bool hasTrouble();

struct Header {
    std::string name;
    std::string value;
};

struct Message {
    std::string start;
    std::vector<Header> headers;
    std::string body;
    // Whether the body ended as its framing says.
    bool whole { false };

    std::string header(std::string_view name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

// One blocking connection. Every wait has a limit.
class Connection {
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::unique_ptr<Connection> open(const std::string& endpoint, milliseconds limit = milliseconds(1000));
    bool send(std::string_view bytes, milliseconds limit = milliseconds(10000));
    // Head only; the body stays to be read. Nothing at the end of the connection.
    std::optional<Message> readHead(milliseconds limit);
    // The rest of the message, by its framing.
    void readBody(Message&, milliseconds limit);
    std::optional<Message> read(milliseconds limit);
    // Reads until so many bytes have come beyond what was taken; false if they do not.
    bool readAtLeast(size_t bytes, milliseconds limit) { return fillTo(bytes, Clock::now() + limit); }
    void close();

private:
    bool fill(Clock::time_point until);
    bool fillTo(size_t bytes, Clock::time_point until);

    int m_descriptor;
    std::string m_buffer;
};

// What a caller sees of one request.
struct Answer {
    // 0 when the connection ended without a whole answer.
    int status { 0 };
    std::string body;
    bool signed_ { false };
    std::string text() const;
};

struct Request {
    std::string id;
    std::string method = "GET";
    std::string path;
    std::string body {};
    int deadline = 5000;
    std::string key = "example-key-of-a-tenant";
};
std::string headOf(const Request&, const std::string& framing = {});
// Sends one request on a new connection, and records what came of it.
Answer ask(const std::string& endpoint, const Request&);

// A backend server beside a node, as the pages describe it: one thread for each connection.
class Server {
public:
    struct Run {
        int64_t at;
        std::string id;
        std::string method;
        std::string target;
        std::string tenant;
        size_t bodyBytes;
        std::string digest;
    };
    // Takes a request whose head has been read, and says whether the connection goes on.
    using Handler = std::function<bool(Server&, Connection&, Message)>;

    Server(std::string service, std::string instance, std::string endpoint, std::string zone, std::string control);
    ~Server();

    void onRequest(Handler handler) { m_handler = std::move(handler); }
    void start();
    // Announces itself now and then regularly.
    void startBeating();
    void stopBeating();
    // A heartbeat with the next number, not sent yet.
    std::string nextBeat(const std::string& state);
    bool sendBeat(const std::string& body);
    bool deregister();
    void stop();

    // Notes a request as run, and answers it with 200.
    void noteRun(const Message&);
    bool answer(Connection&, const Message&, int status = 200, const std::string& more = {});
    // Turns it away unrun, as a server that is full.
    bool reject(Connection&);

    std::vector<Run> runs();
    const std::string& instance() const { return m_instance; }

private:
    void accept();
    void serve(int descriptor);
    void exchange(Connection&);

    const std::string m_service;
    const std::string m_instance;
    const std::string m_endpoint;
    const std::string m_zone;
    const std::string m_control;
    const int64_t m_born;
    Handler m_handler;
    int m_listener { -1 };
    std::atomic<bool> m_stopped { false };
    std::atomic<bool> m_beats { false };
    std::atomic<uint64_t> m_sequence { 0 };
    std::vector<std::thread> m_threads;
    std::mutex m_lock;
    std::vector<Run> m_runs;
    // Sockets of the connections that are open.
    std::set<int> m_open;
};

// One node, with the address of its machine.
class Node {
public:
    Node(std::string zone, std::string service, int machine);
    ~Node();

    void start();
    void signal(int number);
    // Waits for its end; false if it has not ended by then.
    bool awaitEnd(milliseconds limit);
    void restart();
    bool isReady() const;
    void awaitReady(milliseconds limit = milliseconds(15000)) const;

    std::string outbound() const { return m_address + ":8548"; }
    std::string control() const { return m_address + ":8540"; }
    std::string application() const { return m_address + ":8547"; }
    const std::string& zone() const { return m_zone; }
    const std::string& service() const { return m_service; }
    // Text of a page for operators.
    std::string page(const std::string& path) const;

private:
    std::string settings() const;

    const std::string m_zone;
    const std::string m_service;
    const std::string m_address;
    const std::string m_name;
    int m_process { -1 };
};

// Puts a configuration into the store, as the operator does; the time of the acknowledgement.
int64_t putConfiguration(const std::string& json);
// A configuration with the given routes and tenants, each a JSON object.
std::string configuration(int version, const std::vector<std::string>& routes, const std::vector<std::string>& services,
    const std::vector<std::string>& tenants);
std::string route(const std::string& name, const std::string& prefix, const std::string& service,
    const std::string& type, int timeout = 6000, int attempts = 2, bool isPublic = false);
std::string tenant(const std::string& name, const std::vector<std::string>& keys);

std::string digestOf(std::string_view);

// Runs a case between the start and the end of its surroundings; the exit status.
int runCase(int argumentCount, char** arguments, const std::function<void()>& play);

} // namespace Review

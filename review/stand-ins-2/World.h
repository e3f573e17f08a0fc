// What the scripts of the second review share: nodes as processes, a small HTTP/1.1 server and client over blocking
// sockets, backend servers and the operator as the users' pages describe them, and the record of what was seen.
//
// Every machine has a loopback address of its own, so that all of them use the same ports, as on the platform.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int portOfPeers = 7000;
constexpr int portOfControl = 8540;
constexpr int portOfStore = 8545;
constexpr int portOfReady = 8546;
constexpr int portOfServer = 8547;
constexpr int portOfCallers = 8548;

enum Result { Held = 0, Broken = 1, CouldNotRun = 2 };

inline void sleepFor(int64_t time) { std::this_thread::sleep_for(milliseconds(time)); }

// Unix milliseconds, as `born` tells them.
inline int64_t unixTime()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// --- The record -----------------------------------------------------------------------------------------------------

// Lines with the milliseconds since the start, in a file and on standard output.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_start(Clock::now())
    {
    }

    int64_t now() const { return std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count(); }

    void line(const std::string& text)
    {
        const auto at = now();
        std::lock_guard guard(m_lock);
        m_file << at << " ms  " << text << std::endl;
        std::printf("%6lld ms  %s\n", static_cast<long long>(at), text.c_str());
        std::fflush(stdout);
    }

private:
    std::ofstream m_file;
    const Clock::time_point m_start;
    std::mutex m_lock;
};

// --- Sockets --------------------------------------------------------------------------------------------------------

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// -1 when the address is taken.
inline int listenAt(const std::string& ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = addressOf(ip, port);
    if (bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) || listen(socket, 512)) {
        ::close(socket);
        return -1;
    }
    return socket;
}

// A connection made from the address of a machine; -1 when there is none.
inline int connectTo(const std::string& ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(ip, port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address)) {
        ::close(socket);
        return -1;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

inline bool sendAll(int socket, const std::string& bytes)
{
    for (size_t sent = 0; sent < bytes.size();) {
        const auto count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

// --- HTTP -----------------------------------------------------------------------------------------------------------

struct Message {
    std::string start;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string path() const
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

// Reads messages from a connection, one after the other.
class Reader {
public:
    explicit Reader(int socket)
        : m_socket(socket)
    {
    }

    // Nothing when the connection ends, or the time is over, before the message is whole.
    std::optional<Message> read(Clock::time_point until)
    {
        Message message;
        // 1. The head.
        size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until))
                return std::nullopt;
        }
        std::istringstream lines(m_bytes.substr(0, end));
        m_bytes.erase(0, end + 4);
        std::getline(lines, message.start);
        for (std::string line; std::getline(lines, line);) {
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto name = line.substr(0, colon);
            for (auto& character : name)
                character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
            auto value = line.substr(std::min(line.size(), line.find_first_not_of(" \t", colon + 1)));
            while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
                value.pop_back();
            message.headers[name] = value;
        }

        // 2. The body.
        if (message.header("transfer-encoding") == "chunked")
            return readChunks(std::move(message), until);
        const auto length = static_cast<size_t>(std::atoll(message.header("content-length").c_str()));
        while (m_bytes.size() < length) {
            if (!more(until))
                return std::nullopt;
        }
        message.body = m_bytes.substr(0, length);
        m_bytes.erase(0, length);
        return message;
    }

    // Whether the other side has closed the connection.
    bool ended() const { return m_ended; }

private:
    std::optional<Message> readChunks(Message message, Clock::time_point until)
    {
        while (true) {
            size_t end = 0;
            while ((end = m_bytes.find("\r\n")) == std::string::npos) {
                if (!more(until))
                    return std::nullopt;
            }
            const auto size = static_cast<size_t>(std::strtoull(m_bytes.c_str(), nullptr, 16));
            m_bytes.erase(0, end + 2);
            while (m_bytes.size() < size + 2) {
                if (!more(until))
                    return std::nullopt;
            }
            message.body += m_bytes.substr(0, size);
            m_bytes.erase(0, size + 2);
            if (!size)
                return message;
        }
    }

    bool more(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        pollfd waiting { m_socket, POLLIN, 0 };
        if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const auto count = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (count <= 0) {
            m_ended = true;
            return false;
        }
        m_bytes.append(bytes, static_cast<size_t>(count));
        return true;
    }

    const int m_socket;
    std::string m_bytes;
    bool m_ended { false };
};

// What came of a request.
struct Outcome {
    // 0 when no whole answer came.
    int status { 0 };
    bool connected { false };
    // Whether the connection ended before the answer was whole.
    bool cut { false };
    Message answer;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string requestText(
    const std::string& method, const std::string& path, const Headers& headers, const std::string& body)
{
    std::string text = method + ' ' + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

// One request on a connection of its own.
inline Outcome ask(const std::string& ip, int port, const std::string& method, const std::string& path, Headers headers,
    const std::string& body, int64_t patience)
{
    Outcome outcome;
    const auto until = Clock::now() + milliseconds(patience);
    const int socket = connectTo(ip, port);
    if (socket < 0)
        return outcome;
    outcome.connected = true;
    if (sendAll(socket, requestText(method, path, headers, body))) {
        Reader reader(socket);
        if (auto answer = reader.read(until)) {
            outcome.status = answer->status();
            outcome.answer = std::move(*answer);
        }
        outcome.cut = !outcome.status && reader.ended();
    } else {
        outcome.cut = true;
    }
    ::close(socket);
    return outcome;
}

// Takes connections, each on a thread of its own, and hands every request to a function that answers it by itself.
class HttpServer {
public:
    // False: the connection is closed.
    using Handler = std::function<bool(int socket, const Message&)>;

    HttpServer(const std::string& ip, int port, Handler handler)
        : m_handler(std::move(handler))
        , m_socket(listenAt(ip, port))
    {
        if (m_socket >= 0)
            m_thread = std::thread([this] { accept(); });
    }

    ~HttpServer()
    {
        m_stopped = true;
        if (m_socket >= 0)
            ::shutdown(m_socket, SHUT_RDWR);
        if (m_thread.joinable())
            m_thread.join();
        {
            std::lock_guard guard(m_lock);
            for (const int open : m_open)
                ::shutdown(open, SHUT_RDWR);
        }
        for (auto& thread : m_threads)
            thread.join();
        if (m_socket >= 0)
            ::close(m_socket);
    }

    bool listens() const { return m_socket >= 0; }

private:
    void accept()
    {
        while (!m_stopped) {
            const int socket = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                continue;
            std::lock_guard guard(m_lock);
            m_open.insert(socket);
            m_threads.emplace_back([this, socket] { serve(socket); });
        }
    }

    void serve(int socket)
    {
        Reader reader(socket);
        while (!m_stopped) {
            const auto request = reader.read(Clock::now() + std::chrono::hours(1));
            if (!request || !m_handler(socket, *request))
                break;
        }
        std::lock_guard guard(m_lock);
        m_open.erase(socket);
        ::close(socket);
    }

    Handler m_handler;
    const int m_socket;
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
    std::mutex m_lock;
    std::set<int> m_open;
    std::vector<std::thread> m_threads;
};

// --- Processes ------------------------------------------------------------------------------------------------------

// A process of the project's, ended with the object.
class Process {
public:
    Process(std::vector<std::string> command, const std::string& log, const std::string& settings = {})
    {
        m_id = ::fork();
        if (m_id != 0)
            return;
        // Whatever ends this program ends what it started.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        if (!settings.empty())
            ::setenv("VANILLARIDGE_SETTINGS", settings.c_str(), 1);
        std::vector<char*> words;
        for (auto& word : command)
            words.push_back(word.data());
        words.push_back(nullptr);
        ::execv(words.front(), words.data());
        ::_exit(127);
    }

    ~Process()
    {
        signal(SIGKILL);
        waitFor(5000);
    }

    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number)
    {
        if (!m_ended)
            ::kill(m_id, number);
    }

    // Whether the process has ended by then.
    bool waitFor(int64_t time)
    {
        const auto until = Clock::now() + milliseconds(time);
        while (!m_ended) {
            m_ended = ::waitpid(m_id, &m_status, WNOHANG) == m_id;
            if (!m_ended && Clock::now() >= until)
                return false;
            if (!m_ended)
                sleepFor(2);
        }
        return true;
    }

    // How it ended, in words.
    std::string end() const
    {
        if (!m_ended)
            return "runs";
        return WIFSIGNALED(m_status) ? "ended by signal " + std::to_string(WTERMSIG(m_status))
                                     : "exited with " + std::to_string(WEXITSTATUS(m_status));
    }

private:
    pid_t m_id { -1 };
    bool m_ended { false };
    int m_status { 0 };
};

// --- The deployment -------------------------------------------------------------------------------------------------

// Addresses of one run, its folder, and the platform's store.
class World {
public:
    // The program is run in the repository's root.
    World(const std::string& recordPath, const std::string& storeProgram)
        : record(recordPath)
    {
        std::random_device random;
        std::string pattern = (std::filesystem::temp_directory_path() / "vanillaridge-review-XXXXXX").string();
        if (::mkdtemp(pattern.data()))
            folder = pattern;
        for (int tries = 0; tries < 20 && !m_store; ++tries) {
            prefix = "127." + std::to_string(16 + random() % 200) + '.' + std::to_string(1 + random() % 250) + '.';
            const int probe = listenAt(storeIp(), portOfStore);
            if (probe < 0)
                continue;
            ::close(probe);
            m_store = std::make_unique<Process>(
                std::vector<std::string> { storeProgram, "--listen", storeIp() + ':' + std::to_string(portOfStore) },
                folder + "/store.log");
        }
    }

    ~World()
    {
        m_store.reset();
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(folder);
        else
            record.line("logs are kept");
    }

    std::string ip(int machine) const { return prefix + std::to_string(machine); }
    std::string storeIp() const { return prefix + "200"; }

    bool storeIsUp()
    {
        for (int tries = 0; tries < 100; ++tries) {
            if (ask(storeIp(), portOfStore, "GET", "/stand-in/calls", {}, {}, 500).status == 200)
                return true;
            sleepFor(50);
        }
        return false;
    }

    // "no", "refuse", "unavailable", "busy" or "hang"
    bool setStore(const std::string& down)
    {
        record.line("the store: " + (down == "no" ? std::string("sound") : down));
        return ask(storeIp(), portOfStore, "POST", "/stand-in/faults", {}, "{\"down\":\"" + down + "\"}", 1000).status
            == 200;
    }

    bool create(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const auto body = R"({"metadata":{"name":")" + name + R"("},"spec":)" + spec + '}';
        return ask(storeIp(), portOfStore, "POST", "/objects/" + kind, {}, body, 1000).status / 100 == 2;
    }

    Record record;
    std::string folder;
    std::string prefix;

private:
    std::unique_ptr<Process> m_store;
};

// A route in the operator's words.
inline std::string routeText(const std::string& name, const std::string& type, const std::string& service,
    int64_t timeout, bool isPublic, int attempts = 2)
{
    return R"({"name":"r-)" + name + R"(","host":"site.example","path-prefix":"/)" + name + R"(/","route-type":")"
        + type + R"(","timeout-ms":)" + std::to_string(timeout)
        + R"(,"target-latency-ms":1500,"priority":1,"service":")" + service + R"(","attempts":)"
        + std::to_string(attempts) + R"(,"public":)" + (isPublic ? "true" : "false") + '}';
}

inline std::string serviceText(const std::string& name)
{
    return R"({"name":")" + name + R"(","health-path":"/health","max-connections":826,"protocol":"h1","tls":false})";
}

inline std::string joined(const std::vector<std::string>& texts)
{
    std::string all;
    for (const auto& text : texts)
        all += (all.empty() ? "" : ",") + text;
    return all;
}

inline std::string configurationText(
    int version, const std::vector<std::string>& routes, const std::vector<std::string>& services)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + joined(routes) + R"(],"services":[)"
        + joined(services)
        + R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
        + R"("idle-timeout-ms":15000},"tenants":[{"name":"tenant-a","api-keys":["key-of-tenant-a"],)"
        + R"("rate-per-s":0,"burst":0,"priority":1}]})";
}

inline const std::string clientKey = "Bearer key-of-tenant-a";

// A node of the deploy file, with settings filled in from platform/node.toml.in as the platform does.
class Node {
public:
    Node(World& world, int machine, std::string service)
        : ip(world.ip(machine))
        , m_world(world)
        , m_machine(machine)
        , m_service(std::move(service))
        , m_settings(world.folder + "/node-" + std::to_string(machine) + ".toml")
    {
        std::ifstream file("platform/node.toml.in");
        std::stringstream text;
        text << file.rdbuf();
        auto settings = text.str();
        const std::vector<std::pair<std::string, std::string>> fields { { "ip", ip },
            { "internal-ports.0", std::to_string(portOfPeers) },
            { "listen-addrs.outbound", ip + ':' + std::to_string(portOfCallers) },
            { "listen-addrs.control", ip + ':' + std::to_string(portOfControl) },
            { "listen-addrs.ready", ip + ':' + std::to_string(portOfReady) }, { "zone", "zone-a" },
            { "service", m_service }, { "heartbeat-ms", "1500" },
            { "platform.address", world.storeIp() + ':' + std::to_string(portOfStore) }, { "limits.max-fds", "4100" } };
        for (const auto& [name, value] : fields) {
            const auto place = "{{" + name + "}}";
            for (auto at = settings.find(place); at != std::string::npos; at = settings.find(place, at))
                settings.replace(at, place.size(), value);
        }
        std::ofstream(m_settings) << settings;
    }

    void start()
    {
        m_world.record.line("the node of machine " + std::to_string(m_machine) + " starts");
        process = std::make_unique<Process>(
            std::vector<std::string> { "target/vanillaridge", "node", "--integration", "platform" },
            m_world.folder + "/node-" + std::to_string(m_machine) + ".log", m_settings);
    }

    bool isReady() const { return ask(ip, portOfReady, "GET", "/ready", {}, {}, 500).status == 200; }

    bool becomesReady(int64_t time) const
    {
        const auto until = Clock::now() + milliseconds(time);
        while (Clock::now() < until) {
            if (isReady())
                return true;
            sleepFor(50);
        }
        return false;
    }

    const std::string ip;
    std::unique_ptr<Process> process;

private:
    World& m_world;
    const int m_machine;
    const std::string m_service;
    const std::string m_settings;
};

// A backend server beside a node, as the users' pages describe it: it echoes ids, signs its answers, and beats.
class BackendServer {
public:
    // Works on a request; the body of the answer, or nothing to close the connection without one.
    using Work = std::function<std::optional<std::string>(const Message&)>;

    BackendServer(World& world, int machine, std::string service, std::string instance, Work work)
        : ip(world.ip(machine))
        , instance(std::move(instance))
        , m_world(world)
        , m_service(std::move(service))
        , m_work(std::move(work))
        , m_http(ip, portOfServer, [this](int socket, const Message& request) { return serve(socket, request); })
    {
    }

    ~BackendServer() { stopBeating(); }

    bool listens() const { return m_http.listens(); }

    void startBeating(int64_t period = 1500)
    {
        m_beats = true;
        m_beating = std::thread([this, period] {
            while (m_beats) {
                beat();
                for (int64_t waited = 0; m_beats && waited < period; waited += 20)
                    sleepFor(20);
            }
        });
    }

    void stopBeating()
    {
        m_beats = false;
        if (m_beating.joinable())
            m_beating.join();
    }

    std::string beatText(uint64_t sequence, const std::string& state) const
    {
        return R"({"service":")" + m_service + R"(","address":")" + ip + ':' + std::to_string(portOfServer)
            + R"(","zone":"zone-a","version":"v1","slots":64,"state":")" + state + R"(","cold-left-ms":0,"seq":)"
            + std::to_string(sequence) + R"(,"born":)" + std::to_string(m_born) + '}';
    }

    // The status of the answer; 0 for none.
    int beat() { return sendBeat(beatText(++m_sequence, state)); }
    int sendBeat(const std::string& text)
    {
        return ask(ip, portOfControl, "POST", "/instances/" + instance + "/heartbeat",
            { { "Content-Type", "application/json" } }, text, 1000)
            .status;
    }
    uint64_t nextSequence() { return ++m_sequence; }

    int deregister()
    {
        return ask(ip, portOfControl, "POST", "/instances/" + instance + "/deregister",
            { { "Content-Type", "application/json" } }, R"({"born":)" + std::to_string(m_born) + '}', 1000)
            .status;
    }

    const std::string ip;
    const std::string instance;
    std::string state { "ready" };

private:
    bool serve(int socket, const Message& request)
    {
        const auto id = request.header("request-id");
        const auto target = request.header("target-instance");
        if (!target.empty() && target != instance) {
            m_world.record.line("server " + instance + " rejects " + id + ", meant for " + target);
            return sendAll(socket,
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + instance + "\r\nContent-Length: 0\r\n\r\n");
        }
        m_world.record.line("server " + instance + " begins " + request.method() + ' ' + request.path() + ' ' + id);
        const auto body = m_work(request);
        if (!body)
            return false;
        const auto sent = sendAll(socket,
            "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: " + instance + '.' + id
                + "\r\nContent-Length: " + std::to_string(body->size()) + "\r\n\r\n" + *body);
        m_world.record.line("server " + instance + " has answered " + id);
        return sent;
    }

    World& m_world;
    const std::string m_service;
    const int64_t m_born { unixTime() };
    std::atomic<uint64_t> m_sequence { 0 };
    std::atomic<bool> m_beats { false };
    std::thread m_beating;
    Work m_work;
    HttpServer m_http;
};

// A client's request, or a backend server's call when it has no key.
inline Headers requestHeaders(const std::string& id, int64_t deadline, bool withKey)
{
    Headers headers { { "Host", "site.example" }, { "Request-Id", id }, { "Deadline-Ms", std::to_string(deadline) } };
    if (withKey)
        headers.push_back({ "Authorization", clientKey });
    return headers;
}

// Whether the disruption is to be left out.
inline bool isCalm()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble && std::string(trouble) == "0";
}

} // namespace Review

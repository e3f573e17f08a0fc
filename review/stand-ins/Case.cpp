#include "Case.h"

#include "../../tests/stand-ins/StoreStandIn.h"

#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

    // Everything of one run of a case.
    struct Surroundings {
        Clock::time_point start { Clock::now() };
        std::ofstream record;
        std::mutex lock;
        std::filesystem::path root;
        std::filesystem::path folder;
        std::string network;
        std::string storeEndpoint;
        std::atomic<int> violations { 0 };
        bool trouble { true };
    };

    Surroundings& surroundings()
    {
        static Surroundings s_surroundings;
        return s_surroundings;
    }

    struct CannotRun { };

    sockaddr_in addressOf(const std::string& endpoint)
    {
        const auto colon = endpoint.rfind(':');
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(std::atoi(endpoint.c_str() + colon + 1)));
        inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &address.sin_addr);
        return address;
    }

    bool awaitSocket(int descriptor, short events, Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
        if (left <= 0)
            return false;
        pollfd entry { descriptor, events, 0 };
        return poll(&entry, 1, static_cast<int>(left)) > 0;
    }

    bool sameName(std::string_view left, std::string_view right)
    {
        return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
    }

} // namespace

int64_t sinceStart() { return std::chrono::duration_cast<milliseconds>(Clock::now() - surroundings().start).count(); }

void sleepUntil(int64_t time) { std::this_thread::sleep_until(surroundings().start + milliseconds(time)); }

void record(const std::string& line)
{
    auto& all = surroundings();
    std::lock_guard guard(all.lock);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(sinceStart()) / 1000);
    all.record << time << line << std::endl;
}

void require(bool holds, const std::string& what)
{
    if (holds)
        return;
    record("cannot run: " + what);
    throw CannotRun();
}

void broken(const std::string& what)
{
    ++surroundings().violations;
    record("BROKEN: " + what);
}

bool hasTrouble() { return surroundings().trouble; }

std::string digestOf(std::string_view text)
{
    uint64_t hash = 0xcbf29ce484222325;
    for (const unsigned char byte : text)
        hash = (hash ^ byte) * 0x100000001b3;
    char digits[20];
    std::snprintf(digits, sizeof(digits), "%016lx", static_cast<unsigned long>(hash));
    return digits;
}

// --- Messages -------------------------------------------------------------------------------------------------------

std::string Message::header(std::string_view name) const
{
    for (const auto& field : headers) {
        if (sameName(field.name, name))
            return field.value;
    }
    return {};
}

int Message::status() const { return start.size() > 9 ? std::atoi(start.c_str() + 9) : 0; }

std::string Message::method() const { return start.substr(0, start.find(' ')); }

std::string Message::target() const
{
    const auto first = start.find(' ');
    return start.substr(first + 1, start.find(' ', first + 1) - first - 1);
}

std::unique_ptr<Connection> Connection::open(const std::string& endpoint, milliseconds limit)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto connection = std::make_unique<Connection>(descriptor);
    const auto address = addressOf(endpoint);
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) && errno != EINPROGRESS)
        return nullptr;
    if (!awaitSocket(descriptor, POLLOUT, Clock::now() + limit))
        return nullptr;
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return error ? nullptr : std::move(connection);
}

bool Connection::send(std::string_view bytes, milliseconds limit)
{
    const auto until = Clock::now() + limit;
    while (!bytes.empty()) {
        const auto sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0)
            bytes.remove_prefix(static_cast<size_t>(sent));
        else if (errno != EAGAIN || !awaitSocket(m_descriptor, POLLOUT, until))
            return false;
    }
    return true;
}

bool Connection::fill(Clock::time_point until)
{
    if (!awaitSocket(m_descriptor, POLLIN, until))
        return false;
    char bytes[16384];
    const auto read = recv(m_descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (read <= 0)
        return false;
    m_buffer.append(bytes, static_cast<size_t>(read));
    return true;
}

bool Connection::fillTo(size_t bytes, Clock::time_point until)
{
    while (m_buffer.size() < bytes) {
        if (!fill(until))
            return false;
    }
    return true;
}

std::optional<Message> Connection::readHead(milliseconds limit)
{
    const auto until = Clock::now() + limit;
    size_t end;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
    }
    Message message;
    std::istringstream lines(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (message.start.empty()) {
            message.start = line;
            continue;
        }
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers.push_back(
            { line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value) });
    }
    return message;
}

void Connection::readBody(Message& message, milliseconds limit)
{
    const auto until = Clock::now() + limit;
    if (message.header("Transfer-Encoding").find("chunked") != std::string::npos) {
        while (true) {
            size_t end;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return;
            }
            const auto size = std::strtoul(m_buffer.c_str(), nullptr, 16);
            if (!fillTo(end + 2 + size + 2, until))
                return;
            message.body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (!size)
                break;
        }
    } else {
        const auto size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        const bool filled = fillTo(size, until);
        message.body = m_buffer.substr(0, size);
        m_buffer.erase(0, message.body.size());
        if (!filled)
            return;
    }
    message.whole = true;
}

std::optional<Message> Connection::read(milliseconds limit)
{
    auto message = readHead(limit);
    if (message)
        readBody(*message, limit);
    return message;
}

void Connection::close()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
    m_descriptor = -1;
}

// --- Callers --------------------------------------------------------------------------------------------------------

std::string Answer::text() const
{
    return status ? std::to_string(status) + (signed_ ? " from the server" : " from the system")
                  : "no whole answer: the connection ended";
}

std::string headOf(const Request& request, const std::string& framing)
{
    std::string head = request.method + ' ' + request.path + " HTTP/1.1\r\nHost: review.example\r\nRequest-Id: "
        + request.id + "\r\nDeadline-Ms: " + std::to_string(request.deadline) + "\r\n";
    if (!request.key.empty())
        head += "Authorization: Bearer " + request.key + "\r\n";
    if (!framing.empty())
        return head + framing + "\r\n";
    if (!request.body.empty())
        head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return head + "\r\n";
}

Answer ask(const std::string& endpoint, const Request& request)
{
    const auto connection = Connection::open(endpoint);
    Answer answer;
    const bool sent = connection && connection->send(headOf(request) + request.body);
    record("sent     " + request.id + ' ' + request.method + ' ' + request.path + " to " + endpoint
        + (connection ? "" : ": no connection"));
    const auto message = sent ? connection->read(milliseconds(request.deadline + 3000)) : std::nullopt;
    if (message && message->whole)
        answer = { message->status(), message->body, !message->header("Response-Signature").empty() };
    if (connection)
        record("answered " + request.id + ' ' + answer.text());
    return answer;
}

// --- Servers --------------------------------------------------------------------------------------------------------

Server::Server(std::string service, std::string instance, std::string endpoint, std::string zone, std::string control)
    : m_service(std::move(service))
    , m_instance(std::move(instance))
    , m_endpoint(std::move(endpoint))
    , m_zone(std::move(zone))
    , m_control(std::move(control))
    , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_handler([](Server& server, Connection& connection, Message message) {
        connection.readBody(message, milliseconds(5000));
        if (!message.whole)
            return false;
        server.noteRun(message);
        return server.answer(connection, message);
    })
{
}

Server::~Server()
{
    stopBeating();
    stop();
}

void Server::start()
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = addressOf(m_endpoint);
    require(!bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) && !listen(m_listener, 128),
        "a server has no address");
    std::lock_guard guard(m_lock);
    m_threads.emplace_back([this] { accept(); });
}

void Server::accept()
{
    while (!m_stopped) {
        if (!awaitSocket(m_listener, POLLIN, Clock::now() + milliseconds(100)))
            continue;
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        std::lock_guard guard(m_lock);
        m_threads.emplace_back([this, descriptor] { serve(descriptor); });
    }
}

void Server::serve(int descriptor)
{
    Connection connection(descriptor);
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
        std::lock_guard guard(m_lock);
        m_open.insert(descriptor);
    }
    exchange(connection);
    std::lock_guard guard(m_lock);
    m_open.erase(descriptor);
    connection.close();
}

void Server::exchange(Connection& connection)
{
    while (!m_stopped) {
        auto message = connection.readHead(milliseconds(10000));
        if (!message)
            return;
        const auto target = message->header("Target-Instance");
        if (!target.empty() && target != m_instance) {
            connection.readBody(*message, milliseconds(5000));
            record("server   " + m_instance + " is not " + target + ": 421 for " + message->header("Request-Id"));
            if (!connection.send(
                    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nInstance-Id: " + m_instance + "\r\n\r\n"))
                return;
            continue;
        }
        if (!m_handler(*this, connection, std::move(*message)))
            return;
    }
}

void Server::noteRun(const Message& message)
{
    const auto id = message.header("Request-Id");
    {
        std::lock_guard guard(m_lock);
        m_runs.push_back({ sinceStart(), id, message.method(), message.target(), message.header("Tenant-Id"),
            message.body.size(), digestOf(message.body) });
    }
    record("ran      " + id + ' ' + message.method() + ' ' + message.target() + " at " + m_instance + " (" + m_service
        + ") with " + std::to_string(message.body.size()) + " bytes");
}

bool Server::answer(Connection& connection, const Message& request, int status, const std::string& more)
{
    const std::string body = "done by " + m_instance + '\n';
    return connection.send("HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error")
        + "\r\nRequest-Id: " + request.header("Request-Id") + "\r\nResponse-Signature: review." + digestOf(body)
        + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool Server::reject(Connection& connection)
{
    connection.send("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    return false;
}

std::string Server::nextBeat(const std::string& state)
{
    return "{\"service\":\"" + m_service + "\",\"address\":\"" + m_endpoint + "\",\"zone\":\"" + m_zone
        + "\",\"version\":\"v1\",\"slots\":16,\"state\":\"" + state
        + "\",\"cold-left-ms\":0,\"seq\":" + std::to_string(++m_sequence) + ",\"born\":" + std::to_string(m_born) + "}";
}

namespace {

    bool post(const std::string& endpoint, const std::string& path, const std::string& body)
    {
        const auto connection = Connection::open(endpoint);
        const bool sent = connection
            && connection->send("POST " + path + " HTTP/1.1\r\nHost: " + endpoint
                + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body);
        const auto message = sent ? connection->read(milliseconds(1000)) : std::nullopt;
        return message && message->whole && message->status() / 100 == 2;
    }

} // namespace

bool Server::sendBeat(const std::string& body)
{
    return post(m_control, "/instances/" + m_instance + "/heartbeat", body);
}

bool Server::deregister()
{
    return post(m_control, "/instances/" + m_instance + "/deregister", "{\"born\":" + std::to_string(m_born) + "}");
}

void Server::startBeating()
{
    m_beats = true;
    std::lock_guard guard(m_lock);
    m_threads.emplace_back([this] {
        constexpr milliseconds period(1500);
        constexpr milliseconds retry(100);
        while (m_beats && !m_stopped) {
            const bool acknowledged = sendBeat(nextBeat("ready"));
            const auto until = Clock::now() + (acknowledged ? period : retry);
            while (m_beats && !m_stopped && Clock::now() < until)
                std::this_thread::sleep_for(milliseconds(20));
        }
    });
}

void Server::stopBeating() { m_beats = false; }

void Server::stop()
{
    m_stopped = true;
    m_beats = false;
    while (true) {
        std::vector<std::thread> threads;
        {
            std::lock_guard guard(m_lock);
            threads.swap(m_threads);
            for (const auto descriptor : m_open)
                shutdown(descriptor, SHUT_RDWR);
        }
        if (threads.empty())
            break;
        for (auto& thread : threads)
            thread.join();
    }
    if (m_listener >= 0)
        ::close(m_listener);
    m_listener = -1;
}

std::vector<Server::Run> Server::runs()
{
    std::lock_guard guard(m_lock);
    return m_runs;
}

// --- Nodes ----------------------------------------------------------------------------------------------------------

namespace {

    // Fills in the template of the deploy file.
    std::string filledIn(std::string text, const std::map<std::string, std::string>& values)
    {
        for (const auto& [name, value] : values) {
            const auto mark = "{{" + name + "}}";
            for (size_t at; (at = text.find(mark)) != std::string::npos;)
                text.replace(at, mark.size(), value);
        }
        require(text.find("{{") == std::string::npos, "the template of the settings has an unknown field");
        return text;
    }

    std::string readWhole(const std::filesystem::path& path)
    {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

} // namespace

Node::Node(std::string zone, std::string service, int machine)
    : m_zone(std::move(zone))
    , m_service(std::move(service))
    , m_address(surroundings().network + std::to_string(machine))
    , m_name("node-" + std::to_string(machine))
{
}

Node::~Node()
{
    if (m_process <= 0)
        return;
    signal(SIGKILL);
    awaitEnd(milliseconds(5000));
}

std::string Node::settings() const
{
    return filledIn(readWhole(surroundings().root / "platform/node.toml.in"),
        { { "ip", m_address }, { "internal-ports.0", "7000" }, { "listen-addrs.outbound", outbound() },
            { "listen-addrs.control", control() }, { "listen-addrs.ready", m_address + ":8546" }, { "zone", m_zone },
            { "service", m_service }, { "heartbeat-ms", "1500" },
            { "platform.address", surroundings().storeEndpoint } });
}

void Node::start()
{
    const auto& all = surroundings();
    const auto file = all.folder / (m_name + ".toml");
    std::ofstream(file) << settings();
    const auto log = (all.folder / (m_name + ".log")).string();
    const auto variable = "VANILLARIDGE_SETTINGS=" + file.string();
    const auto root = all.root.string();
    record("start    " + m_name + " at " + m_address + " in " + m_zone);
    m_process = fork();
    if (!m_process) {
        // Whatever ends the case ends its nodes.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, 1);
        dup2(output, 2);
        std::array<const char*, 5> arguments { "target/vanillaridge", "node", "--integration", "platform", nullptr };
        std::array<const char*, 4> environment { variable.c_str(), "PATH=/usr/bin:/bin", "LANG=C", nullptr };
        if (!chdir(root.c_str()))
            execve(arguments[0], const_cast<char**>(arguments.data()), const_cast<char**>(environment.data()));
        _exit(127);
    }
    require(m_process > 0, "no process can be started");
}

void Node::signal(int number)
{
    if (number != SIGKILL || m_process > 0)
        record("signal   " + std::string(strsignal(number)) + " to " + m_name);
    if (m_process > 0)
        kill(m_process, number);
}

bool Node::awaitEnd(milliseconds limit)
{
    const auto until = Clock::now() + limit;
    int status = 0;
    while (m_process > 0 && Clock::now() < until) {
        if (waitpid(m_process, &status, WNOHANG) == m_process) {
            record("ended    " + m_name
                + (WIFSIGNALED(status) ? std::string(" by ") + strsignal(WTERMSIG(status))
                                       : " with status " + std::to_string(WEXITSTATUS(status))));
            m_process = -1;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return m_process <= 0;
}

void Node::restart()
{
    signal(SIGKILL);
    require(awaitEnd(milliseconds(5000)), "a node does not end");
    start();
}

bool Node::isReady() const
{
    const auto connection = Connection::open(m_address + ":8546");
    const bool sent = connection && connection->send("GET /ready HTTP/1.1\r\nHost: " + m_address + "\r\n\r\n");
    const auto message = sent ? connection->read(milliseconds(1000)) : std::nullopt;
    return message && message->status() == 200;
}

void Node::awaitReady(milliseconds limit) const
{
    const auto until = Clock::now() + limit;
    while (!isReady()) {
        require(Clock::now() < until, m_name + " does not become ready");
        std::this_thread::sleep_for(milliseconds(50));
    }
    record("ready    " + m_name);
}

std::string Node::page(const std::string& path) const
{
    const auto connection = Connection::open(m_address + ":7001");
    const bool sent = connection && connection->send("GET " + path + " HTTP/1.1\r\nHost: " + m_address + "\r\n\r\n");
    const auto message = sent ? connection->read(milliseconds(1000)) : std::nullopt;
    return message ? message->body : std::string();
}

// --- The operator ---------------------------------------------------------------------------------------------------

int64_t putConfiguration(const std::string& json)
{
    static bool s_exists = false;
    const auto body = "{\"metadata\":{\"name\":\"main\"},\"spec\":" + json + "}";
    const auto& store = surroundings().storeEndpoint;
    const auto connection = Connection::open(store);
    const std::string line = s_exists ? "PUT /objects/config/main" : "POST /objects/config";
    const bool sent = connection
        && connection->send(line + " HTTP/1.1\r\nHost: " + store + "\r\nContent-Length: " + std::to_string(body.size())
            + "\r\n\r\n" + body);
    const auto message = sent ? connection->read(milliseconds(5000)) : std::nullopt;
    require(message && message->status() / 100 == 2, "the store does not take the configuration");
    s_exists = true;
    const auto now = sinceStart();
    record("operator the store acknowledged a configuration of " + std::to_string(json.size())
        + " bytes: " + (json.size() < 1500 ? json : json.substr(0, 100) + " .."));
    return now;
}

namespace {

    std::string joined(const std::vector<std::string>& entries)
    {
        std::string text;
        for (const auto& entry : entries)
            text += (text.empty() ? "" : ",") + entry;
        return text;
    }

} // namespace

std::string configuration(int version, const std::vector<std::string>& routes, const std::vector<std::string>& services,
    const std::vector<std::string>& tenants)
{
    std::vector<std::string> entries;
    for (const auto& service : services)
        entries.push_back("{\"name\":\"" + service
            + "\",\"health-path\":\"/health\",\"max-connections\":826,\"protocol\":\"h1\",\"tls\":false}");
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + joined(routes) + "],\"services\":["
        + joined(entries)
        + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-ms\":3000,"
          "\"idle-timeout-ms\":15000},\"tenants\":["
        + joined(tenants) + "]}";
}

std::string route(const std::string& name, const std::string& prefix, const std::string& service,
    const std::string& type, int timeout, int attempts, bool isPublic)
{
    return "{\"name\":\"" + name + "\",\"host\":\"review.example\",\"path-prefix\":\"" + prefix + "\",\"route-type\":\""
        + type + "\",\"timeout-ms\":" + std::to_string(timeout)
        + ",\"target-latency-ms\":2000,\"priority\":1,\"service\":\"" + service
        + "\",\"attempts\":" + std::to_string(attempts) + ",\"public\":" + (isPublic ? "true" : "false") + "}";
}

std::string tenant(const std::string& name, const std::vector<std::string>& keys)
{
    std::vector<std::string> texts;
    for (const auto& key : keys)
        texts.push_back('"' + key + '"');
    return "{\"name\":\"" + name + "\",\"api-keys\":[" + joined(texts)
        + "],\"priority\":1,\"rate-per-s\":0,\"burst\":0}";
}

// --- A case ---------------------------------------------------------------------------------------------------------

int runCase(int argumentCount, char** arguments, const std::function<void()>& play)
{
    // 1. Where everything is.
    auto& all = surroundings();
    if (argumentCount != 3)
        return 2;
    all.root = std::filesystem::absolute(arguments[1]);
    const auto* trouble = std::getenv("TROUBLE");
    all.trouble = !trouble || std::string_view(trouble) != "0";
    all.record.open(std::filesystem::path(arguments[2]) / "record.txt");
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        return 2;
    all.folder = folder;
    std::random_device random;
    all.network = "127." + std::to_string(2 + random() % 250) + '.' + std::to_string(1 + random() % 250) + '.';
    record(std::string("case with TROUBLE=") + (all.trouble ? "1" : "0"));

    // 2. The platform's store.
    StandIns::Asio::io_context context { 1 };
    auto store = std::make_shared<StandIns::StoreStandIn>(context);
    all.storeEndpoint = all.network + "1:8545";
    std::thread storeThread;
    int status = 2;
    try {
        store->listen(StandIns::endpointFromText(all.storeEndpoint));
        storeThread = std::thread([&] { context.run(); });
        play();
        status = all.violations ? 1 : 0;
    } catch (const CannotRun&) {
        status = 2;
    } catch (const std::exception& error) {
        record(std::string("cannot run: ") + error.what());
    }

    // 3. The end.
    context.stop();
    if (storeThread.joinable())
        storeThread.join();
    record(status == 2 ? "the case could not run" : status ? "the rule was broken" : "the rule held");
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(all.folder);
    else
        record("logs in " + all.folder.string());
    return status;
}

} // namespace Review

#include "Fleet.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace Vanillaridge {

namespace {

    constexpr std::chrono::milliseconds lookPeriod(20);

} // namespace

Process::Process(std::string program, std::vector<std::string> arguments, std::filesystem::path log)
{
    std::vector<char*> argv { program.data() };
    for (auto& argument : arguments)
        argv.push_back(argument.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    const int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error)
        throw std::runtime_error("cannot start " + program);
}

Process::~Process()
{
    if (!running())
        return;
    ::kill(m_pid, SIGKILL);
    ::kill(m_pid, SIGCONT);
    int status = 0;
    ::waitpid(m_pid, &status, 0);
}

void Process::signal(int number) const
{
    if (!m_end)
        ::kill(m_pid, number);
}

bool Process::running()
{
    if (m_end)
        return false;
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_end = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return false;
}

size_t Process::peakMemory() const
{
    constexpr std::string_view field = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field))
            return std::stoul(line.substr(field.size())) * 1024;
    }
    return 0;
}

std::optional<int> Process::awaitEnd(std::chrono::milliseconds limit)
{
    eventually([this] { return !running(); }, limit);
    return m_end;
}

bool eventually(const std::function<bool()>& test, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!test()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(lookPeriod);
    }
    return true;
}

namespace {

    // Below the ports that the kernel gives to outgoing connections, which could otherwise take one meanwhile.
    constexpr uint32_t firstPort = 12'000;
    constexpr uint32_t portCount = 20'000;

    bool canBind(int type, uint16_t port)
    {
        const int socket = ::socket(AF_INET, type, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool bound = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        ::close(socket);
        return bound;
    }

} // namespace

// Test programs that run at once begin at different ports. A port must be free for TCP and for UDP.
uint16_t freePort()
{
    static uint32_t s_next = static_cast<uint32_t>(::getpid()) * 101;
    for (;;) {
        const auto port = static_cast<uint16_t>(firstPort + s_next++ % portCount);
        if (canBind(SOCK_STREAM, port) && canBind(SOCK_DGRAM, port))
            return port;
    }
}

} // namespace Vanillaridge

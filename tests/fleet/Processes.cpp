#include "Fleet.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
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

// Bound and closed again: the kernel gives ports of its own choice in turn, so it is not given away at once. The port
// must be free for UDP too.
uint16_t freePort()
{
    for (;;) {
        const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        const auto* generic = reinterpret_cast<const sockaddr*>(&address);
        bool free = ::bind(tcp, generic, sizeof(address)) == 0
            && ::getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &size) == 0;
        free = free && ::bind(udp, generic, sizeof(address)) == 0;
        ::close(tcp);
        ::close(udp);
        if (free)
            return ntohs(address.sin_port);
    }
}

} // namespace Vanillaridge

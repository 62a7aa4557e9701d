#include "process/child.h"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace carawayloft::test_support {

child::child(const std::vector<std::string> &words, const std::string &logFile)
    : m_logFile(logFile)
{
    std::vector<char *> arguments;
    for (const std::string &each : words) {
        arguments.push_back(const_cast<char *>(each.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    if (posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ) != 0) {
        m_pid = -1;
    }
    posix_spawn_file_actions_destroy(&actions);
    EXPECT_GT(m_pid, 0) << "cannot start " << words[0];
}

child::~child()
{
    kill();
}

void child::signal(int number) const
{
    if (m_pid <= 0) {
        return;
    }
    ::kill(m_pid, number);
    if (number == SIGSTOP) {
        siginfo_t info{};
        waitid(P_PID, static_cast<id_t>(m_pid), &info, WSTOPPED | WEXITED | WNOWAIT);
    }
}

void child::limitFileSize(std::uint64_t bytes) const
{
    const rlimit limit{bytes, RLIM_INFINITY};
    ASSERT_EQ(prlimit(m_pid, RLIMIT_FSIZE, &limit, nullptr), 0);
}

int child::wait(int seconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    int state = 0;
    while (m_pid > 0 && waitpid(m_pid, &state, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() > end) {
            ADD_FAILURE() << "the process of " << m_logFile << " did not end\n" << log();
            kill();
            return -SIGKILL;
        }
        usleep(5'000);
    }
    m_pid = -1;
    return WIFEXITED(state) ? WEXITSTATUS(state) : -WTERMSIG(state);
}

void child::kill()
{
    if (m_pid > 0) {
        ::kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = -1;
    }
}

std::string child::log() const
{
    std::ifstream file(m_logFile);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::size_t child::peakMemory() const
{
    static const std::string label = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(label)) {
            return std::stoul(line.substr(label.size())) << 10U; // The line is in KiB.
        }
    }
    return 0;
}

std::size_t child::openDescriptors() const
{
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(m_pid) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

bool child::isAlive() const
{
    siginfo_t info{};
    return m_pid > 0 && waitid(P_PID, static_cast<id_t>(m_pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == 0;
}

} // namespace carawayloft::test_support

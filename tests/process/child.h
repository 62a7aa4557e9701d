#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace carawayloft::test_support {

/** One process of a test; killed when it goes out of scope. */
class child
{
public:
    /** Starts @p words with both outputs going to @p logFile. */
    child(const std::vector<std::string> &words, const std::string &logFile);
    ~child();

    child(const child &) = delete;
    child &operator=(const child &) = delete;

    /** Sends a signal; returns from SIGSTOP only when every thread has stopped. */
    void signal(int number) const;

    /** Lets no file of the process grow beyond @p bytes, which stands in for a full disk. */
    void limitFileSize(std::uint64_t bytes) const;

    /** Waits for the end; the exit code, or minus the signal that ended it. Fails the test after @p seconds. */
    int wait(int seconds = 30);

    /** SIGKILL, and waits for the end. */
    void kill();

    bool isRunning() const
    {
        return m_pid > 0;
    }
    /** The most memory that the process has held, in bytes. */
    std::size_t peakMemory() const;

    /** Open file descriptors of the process. */
    std::size_t openDescriptors() const;

    /** Whether the process has neither ended nor crashed. */
    bool isAlive() const;

    /** What the process has written so far. */
    std::string log() const;

private:
    int m_pid = -1;
    std::string m_logFile;
};

} // namespace carawayloft::test_support

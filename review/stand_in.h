#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

// Stand-ins for the platform, its clients and its workers, for the scripts of the review.

namespace stand_in {

/** Exit codes of a script. */
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

/** Seconds since the program started. */
double now();

void sleepUntil(double time);
void sleepFor(double seconds);

/** Waits until the condition holds; false if it does not within @p seconds. */
bool await(const std::function<bool()> &condition, double seconds);

/** What was sent, answered and run, a line each with its time. */
class record
{
public:
    explicit record(const std::string &path);
    ~record();
    void line(const std::string &text);

private:
    std::mutex m_lock;
    std::FILE *m_file = nullptr;
};

struct message {
    std::string startLine;
    std::map<std::string, std::string> headers; /**< By lower-case name. */
    std::string body;

    std::string header(const std::string &name) const;
    int status() const;
};

/** One side of an HTTP/1.1 connection. */
class connection
{
public:
    explicit connection(int socket);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    /** Nothing if no connection comes about within a second. */
    static std::unique_ptr<connection> open(const std::string &ip, int port);

    bool send(const std::string &bytes);

    /** The next whole message; nothing if the connection ends or the time is over first. */
    std::optional<message> receive(double seconds);

private:
    bool readMore(double until);

    int m_socket = -1;
    std::string m_buffer;
};

/** One call on a connection of its own; nothing without a whole answer. */
std::optional<message> call(const std::string &method, const std::string &ip, int port, const std::string &path, const std::string &body, double seconds);

/** A deployment of the programs under test on loopback addresses. Its processes end with this one at the latest. */
class deployment
{
public:
    static constexpr int replicas = 3;

    /** Exits with couldNotRun if the program was not built or no free addresses are found. */
    explicit deployment(record &out);

    /** Ends every process that was started, and removes their files. */
    void end();

    static constexpr int frontPort = 8227;
    static constexpr int readyPort = 8220;
    static constexpr int controlPort = 8229;
    static constexpr int workerPort = 9000;

    std::string replicaIp(int number) const;
    std::string frontIp(int number) const;
    std::string workerIp(int number) const;

    void startReplica(int number, bool first);
    void startFront(int number);
    void killReplica(int number);

    /** Whether the replica's process has ended since it was started. */
    bool hasEnded(int number);

    /** Calls control as workers and operators do: any replica, redirects followed, the next one after a failure. */
    std::optional<message> callControl(const std::string &method, const std::string &path, const std::string &body);

    bool isReady(int front) const;

private:
    bool findAddresses();
    void start(const std::string &name, const std::string &settings);

    record &m_record;
    std::string m_net;
    std::string m_folder;
    std::map<std::string, pid_t> m_processes;
    std::atomic<int> m_nextReplica = 1;
};

/**
 * Serves requests at the address until the program ends, each connection on a thread of its own; a connection ends once
 * @p answer returns false. Exits the program if the address cannot be listened on.
 */
void serve(deployment &system, record &out, const std::string &ip, std::function<bool(connection &, const message &)> answer);

/** A plain worker of the service "records": announces itself, and answers each request after its owner has seen it. */
class worker
{
public:
    using observer = std::function<void(const message &)>;

    /** Lives until the program ends. */
    static worker &start(deployment &system, record &out, int number, observer observe);

    std::string id() const;

    /** The check-in that would be sent now. */
    std::string nextCheckIn();
    void stopCheckIns();

private:
    worker(deployment &system, record &out, int number, observer observe);
    bool answer(connection &caller, const message &request);
    void announce();

    deployment &m_system;
    record &m_record;
    int m_number = 0;
    observer m_observe;
    std::atomic<std::uint64_t> m_sequence = 0;
    std::atomic<bool> m_announces = true;
};

/** A configuration with one idempotent route to the service "records", and one tenant. */
std::string configuration(int version);

/** The head of a client's request, with the key of the tenant. */
std::string clientRequest(const std::string &id);

/** Whether the script shall bring its disruption about: TROUBLE=0 says that it shall not. */
bool hasTrouble();

} // namespace stand_in

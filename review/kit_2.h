#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/**
 * Stand-ins for the scripts of the second review: the platform (starts and signals processes), the operator, plain workers and
 * clients, as the users' pages describe them. Every address is a loopback address of this process alone.
 */
namespace review {

using milliseconds = std::chrono::milliseconds;

/** Time since this process began. */
milliseconds elapsed();

void pause(milliseconds time);

/** The file that tells what was sent, answered and run. */
class record
{
public:
    explicit record(const std::string &path);
    ~record();
    record(const record &) = delete;
    record &operator=(const record &) = delete;

    void add(const std::string &line);

private:
    std::mutex m_lock;
    int m_file;
};

/** Whether the disruption is left out: TROUBLE=0 in the environment. */
bool isCalm();

/** A message of HTTP/1.1 that was read from a socket. */
struct message {
    std::string start; /**< Request line or status line. */
    std::map<std::string, std::string> headers; /**< Names in lower case. */
    std::string body;
    bool hasHead = false;
    bool isWhole = false;

    int status() const;
    std::string header(const std::string &name) const;
};

/** A connected or accepted socket. */
class channel
{
public:
    explicit channel(int socket = -1);
    ~channel();
    channel(channel &&other) noexcept;
    channel &operator=(channel &&other) noexcept;

    /** Connects; receiveBuffer and segment are those of a slow or distant caller, zero for the system's own. */
    static channel connect(const std::string &address, milliseconds limit, int receiveBuffer = 0, int segment = 0);

    bool isOpen() const
    {
        return m_socket >= 0;
    }
    void close();
    /** Closes with a reset. */
    void reset();
    bool send(const std::string &bytes);

    /** Reads at most @p most bytes; empty at the end, on a reset or after @p limit. */
    std::string read(std::size_t most, milliseconds limit);

    /** Whether the last read met an end or a reset, not the time limit. */
    bool hasEnded() const
    {
        return m_ended;
    }

    message readMessage(milliseconds limit, bool isAnswer);

private:
    int m_socket;
    std::string m_pending;
    bool m_ended = false;
};

/** A process of the project, run as the deploy file says. */
class process
{
public:
    process(const std::string &settingsFile, const std::string &logFile, std::size_t maxDescriptors);
    ~process();
    process(const process &) = delete;
    process &operator=(const process &) = delete;

    void signal(int number) const;
    bool isRunning();
    /** Largest resident memory so far. */
    std::size_t peakMemoryKb() const;

private:
    pid_t m_pid;
    bool m_ended = false;
};

/** The bounds of tannbok-prod-grown where they differ from those of guild-closedesk; further lines of the settings. */
extern const char *const tannbokBounds;

/** A small deployment: control replicas at host 1 and up, gateways at host 11 and up, workers at host 101 and up. */
class deployment
{
public:
    /** @p more are further lines of all settings. */
    deployment(int replicas, int gateways, int frontMemoryMb, const std::string &more = {});
    ~deployment();
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    std::string host(int number) const;
    std::string control(int replica) const;
    std::string front(int gateway) const;
    std::string ready(int gateway) const;
    std::vector<std::string> controls() const;

    process &gateway(int number)
    {
        return *m_gateways.at(number);
    }
    process &replica(int number)
    {
        return *m_replicas.at(number);
    }

    /** Starts a control replica that has ended again, as the platform does; returns whether it had ended. */
    bool revive(int replica);

    /** Sends an order to any replica until it has a clear answer; the status, zero without one. */
    int order(const std::string &method, const std::string &path, const std::string &body, milliseconds limit) const;

    bool isReady(int gateway) const;

    /** Sends the configuration and waits until all gateways say that they are ready. */
    bool configure(const std::string &configuration) const;

private:
    std::string settings(const std::string &name, const std::string &role, int number, int memoryMb, bool isFirst) const;
    std::unique_ptr<process> start(const std::string &role, int number, int memoryMb, bool isFirst) const;

    std::string m_net;
    std::string m_folder;
    std::string m_more;
    int m_replicaCount;
    std::vector<std::unique_ptr<process>> m_replicas;
    std::vector<std::unique_ptr<process>> m_gateways;
};

/** A plain worker: announces itself and serves each channel on a thread of its own. */
class worker
{
public:
    /** Answers one request; returns whether the channel is kept. */
    using handler = std::function<bool(channel &, const message &)>;

    worker(const deployment &system, std::string service, int number, handler handle, std::string fields = {});
    ~worker();
    worker(const worker &) = delete;
    worker &operator=(const worker &) = delete;

    std::string id() const;

    /** Fields that check-ins have beside those of a plain worker, from one on that is sent at once; they begin with a comma. */
    void setFields(const std::string &fields);

    /** Ends all channels with a reset and comes back under another id after @p downTime. */
    void crash(milliseconds downTime);

    /** The head of an answer to @p request with a seal, as far as the empty line. */
    static std::string head(const message &request, int status, const std::string &more);

private:
    void accept();
    void serve(int socket);
    void announce();
    bool openPort();

    const deployment &m_system;
    std::string m_service;
    int m_number;
    handler m_handle;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_life = 1;
    std::atomic<std::int64_t> m_downUntil = 0;
    std::atomic<int> m_listener = -1;
    std::atomic<int> m_serving = 0;
    std::mutex m_lock;
    std::vector<int> m_sockets;
    std::string m_fields;
    std::atomic<bool> m_hasNews = false;
    std::thread m_accepting;
    std::thread m_announcing;
};

/** A configuration with one route to one plain service, limits and a tenant as on the users' pages. */
std::string configuration(int version, const std::string &kind, int attempts, int timeoutMs, bool resumable = false);

/** Head of a request on the route of configuration(); its path begins with /records/. */
std::string requestHead(const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &more = {});

} // namespace review

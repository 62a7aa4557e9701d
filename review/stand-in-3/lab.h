#pragma once

// Stand-ins for the platform, its operator, clients and workers, for the cases of the third review.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lab {

using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/** Where every platform process has its ports; the address tells the processes apart. */
constexpr int frontPort = 8227;
constexpr int readyPort = 8220;
constexpr int controlPort = 8229;
constexpr int workerPort = 9000;

inline const steady::time_point &start()
{
    static const steady::time_point at = steady::now();
    return at;
}

inline double seconds()
{
    return std::chrono::duration<double>(steady::now() - start()).count();
}

/** What was sent, answered and run, with the seconds since the start; the file is named by the environment. */
inline void record(const char *format, ...)
{
    static std::mutex lock;
    static FILE *file = fopen(getenv("RECORD") == nullptr ? "record.txt" : getenv("RECORD"), "w");
    const std::lock_guard guard(lock);
    if (file == nullptr) {
        return;
    }
    fprintf(file, "%9.3f  ", seconds());
    va_list arguments;
    va_start(arguments, format);
    vfprintf(file, format, arguments);
    va_end(arguments);
    fputc('\n', file);
    fflush(file);
}

inline bool isTroubled()
{
    const char *trouble = getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

inline bool await(const std::function<bool()> &condition, std::chrono::milliseconds most = 20s)
{
    for (const auto end = steady::now() + most; steady::now() < end; std::this_thread::sleep_for(50ms)) {
        if (condition()) {
            return true;
        }
    }
    return false;
}

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/** A connection of a client; closed with the object. */
class connection
{
public:
    connection(const std::string &ip, int port, std::chrono::milliseconds most = 3s, int receiveBuffer = 0, const std::string &from = {})
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        if (receiveBuffer > 0) {
            setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        setTimeout(most);
        if (!from.empty()) {
            const sockaddr_in own = addressOf(from, 0);
            bind(m_socket, reinterpret_cast<const sockaddr *>(&own), sizeof(own));
        }
        const sockaddr_in address = addressOf(ip, port);
        m_isOpen = connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    }

    ~connection()
    {
        close(m_socket);
    }

    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    void setTimeout(std::chrono::milliseconds most) const
    {
        const timeval time{most.count() / 1'000, most.count() % 1'000 * 1'000};
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
        setsockopt(m_socket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
    }

    bool isOpen() const
    {
        return m_isOpen;
    }

    /** Whether the other end has closed or reset it, with nothing to read before. */
    bool hasEnded() const
    {
        char byte = 0;
        const ssize_t count = recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return !m_isOpen || count == 0 || (count < 0 && errno != EAGAIN);
    }

    bool send(const std::string &bytes) const
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /** Bytes that have come, at most @p most; empty at the end of the connection, on a reset or when the time is over. */
    std::string receive(std::size_t most = 65'536) const
    {
        std::string bytes(most, '\0');
        const ssize_t count = recv(m_socket, bytes.data(), most, 0);
        bytes.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return bytes;
    }

private:
    int m_socket;
    bool m_isOpen = false;
};

/** An answer; status 0 if none came, or it is not whole. */
struct answer {
    int status = 0;
    std::string head;
    std::string body;
};

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return text;
}

/** Value of a header in a head; empty if it is not there. */
inline std::string headerOf(const std::string &head, const std::string &name)
{
    const std::string text = lower(head);
    const std::size_t line = text.find("\r\n" + lower(name) + ":");
    if (line == std::string::npos) {
        return {};
    }
    std::size_t begin = line + 3 + name.size();
    const std::size_t end = std::min(head.find("\r\n", begin), head.size());
    while (begin < end && head[begin] == ' ') {
        ++begin;
    }
    return head.substr(begin, end - begin);
}

/** Reads one answer with a length. */
inline answer readAnswer(const connection &from)
{
    answer out;
    std::string bytes;
    std::size_t end = std::string::npos;
    while ((end = bytes.find("\r\n\r\n")) == std::string::npos) {
        const std::string more = from.receive();
        if (more.empty()) {
            return out;
        }
        bytes += more;
    }
    out.head = bytes.substr(0, end + 2);
    const std::size_t length = std::strtoul(headerOf(out.head, "Content-Length").c_str(), nullptr, 10);
    out.body = bytes.substr(end + 4);
    while (out.body.size() < length) {
        const std::string more = from.receive();
        if (more.empty()) {
            return out;
        }
        out.body += more;
    }
    out.status = std::atoi(out.head.c_str() + std::strlen("HTTP/1.1 "));
    return out;
}

inline answer
ask(const std::string &ip, int port, const std::string &method, const std::string &path, const std::string &body = {}, std::chrono::milliseconds most = 1s)
{
    const connection to(ip, port, most);
    if (!to.isOpen()
        || !to.send(method + " " + path + " HTTP/1.1\r\nHost: " + ip
                    + "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return {};
    }
    return readAnswer(to);
}

/** A process of the system, started as the deploy file says. */
class process
{
public:
    /** @p logFile takes its standard output; -1 for a pipe that the caller reads from logPipe(). */
    process(const std::string &settingsFile, const std::string &logFile, bool pipeLogs, rlim_t descriptors)
    {
        int ends[2] = {-1, -1};
        if (pipeLogs && pipe2(ends, O_CLOEXEC) != 0) {
            return;
        }
        m_id = fork();
        if (m_id == 0) {
            const int out = pipeLogs ? ends[1] : open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, STDOUT_FILENO);
            dup2(out, STDERR_FILENO);
            if (descriptors > 0) {
                const rlimit limit{descriptors, descriptors};
                setrlimit(RLIMIT_NOFILE, &limit);
            }
            setenv("CARAWAYLOFT_CONFIG", settingsFile.c_str(), 1);
            execl("target/carawayloft_platform", "target/carawayloft_platform", nullptr);
            _exit(127);
        }
        if (pipeLogs) {
            close(ends[1]);
            m_pipe = ends[0];
        }
    }

    ~process()
    {
        if (m_id > 0 && !hasEnded()) {
            kill(m_id, SIGKILL);
            waitpid(m_id, nullptr, 0);
        }
        if (m_pipe >= 0) {
            close(m_pipe);
        }
    }

    process(const process &) = delete;
    process &operator=(const process &) = delete;

    void signal(int number) const
    {
        kill(m_id, number);
    }

    bool hasEnded()
    {
        m_hasEnded = m_hasEnded || waitpid(m_id, nullptr, WNOHANG) == m_id;
        return m_hasEnded;
    }

    pid_t id() const
    {
        return m_id;
    }

    int logPipe() const
    {
        return m_pipe;
    }

private:
    pid_t m_id = -1;
    int m_pipe = -1;
    bool m_hasEnded = false;
};

/** A small deployment on loopback addresses of its own: three control replicas and gateways, with settings like those of guild-closedesk. */
class deployment
{
public:
    deployment()
        : m_net("127." + std::to_string(1 + getpid() % 200) + "." + std::to_string(getpid() / 200 % 250) + ".")
        , m_folder(std::filesystem::temp_directory_path() / ("review-3-" + std::to_string(getpid())))
    {
        start();
        std::filesystem::create_directories(m_folder);
    }

    ~deployment()
    {
        m_processes.clear();
        std::filesystem::remove_all(m_folder);
    }

    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    static constexpr int replicas = 3;

    /** The address that ends with @p host: 1 to 3 are control replicas, 40 is the first gateway, workers are from 100 on. */
    std::string ip(int host) const
    {
        return m_net + std::to_string(host);
    }

    void startControl()
    {
        for (int host = 1; host <= replicas; ++host) {
            startReplica(host, true);
        }
    }

    /** Starts a control replica; its disk is as it was, and @p first is whether the whole system starts for the first time. */
    process &startReplica(int host, bool first)
    {
        const std::string name = "core-" + std::to_string(host);
        std::filesystem::create_directories(m_folder / (name + "-data"));
        return run(name,
                   common(name, host) + "bootstrap=" + (first ? "true" : "false") + "\nrole=control\nmachineClass=core\nserves=control\nlisten.control="
                       + ip(host) + ":" + std::to_string(controlPort) + "\ndataDir=" + (m_folder / (name + "-data")).string()
                       + "\nlossCounts=true\nlimits.cpuShare=0.3\nlimits.memoryMb=256\nlimits.maxFds=4096\nlimits.diskMb=128\n",
                   false,
                   0);
    }

    process &startGateway(int host = 40, bool pipeLogs = false, rlim_t descriptors = 0, int memoryMb = 260)
    {
        const std::string name = "front-" + std::to_string(host);
        return run(name,
                   common(name, host) + "bootstrap=true\nrole=gateway\nmachineClass=front\nserves=front\nlisten.front=" + ip(host) + ":"
                       + std::to_string(frontPort) + "\nlisten.ready=" + ip(host) + ":" + std::to_string(readyPort)
                       + "\nlossCounts=false\nlimits.cpuShare=0.19\nlimits.memoryMb=" + std::to_string(memoryMb) + "\nlimits.maxFds=4100\nlimits.diskMb=0\n",
                   pipeLogs,
                   descriptors);
    }

    /** A call to control as operator or worker: to each replica in turn, also one that may have been added, following one 307. */
    answer callControl(const std::string &method, const std::string &path, const std::string &body = {}) const
    {
        answer last;
        for (int host = 1; host <= replicas + 1; ++host) {
            last = ask(ip(host), controlPort, method, path, body);
            if (last.status == 307) {
                const std::string location = headerOf(last.head, "Location").substr(std::strlen("http://"));
                last = ask(location.substr(0, location.find(':')), controlPort, method, path, body);
            }
            if (last.status >= 200 && last.status < 500 && last.status != 307) {
                return last;
            }
        }
        return last;
    }

    bool putConfiguration(const std::string &document) const
    {
        return await([&] { return callControl("PUT", "/-/config", document).status == 200; });
    }

    bool isReady(int host = 40) const
    {
        return ask(ip(host), readyPort, "GET", "/-/ready").status == 200;
    }

    /** Control replicas stand in three zones; a fourth one replaces the first. */
    static std::string zoneOf(int host)
    {
        return host == 2 ? "mid-b" : (host == 3 ? "mid-c" : "mid-a");
    }

    /** Empties the disk of a control replica that does not run. */
    void wipeDisk(int host) const
    {
        std::filesystem::remove_all(m_folder / ("core-" + std::to_string(host) + "-data"));
    }

    std::filesystem::path logOf(const std::string &name) const
    {
        return m_folder / (name + ".log");
    }

private:
    std::string common(const std::string &name, int host) const
    {
        std::string seeds;
        for (int each = 1; each <= replicas; ++each) {
            seeds += (each == 1 ? "" : ",") + ip(each) + ":" + std::to_string(controlPort);
        }
        return "nodeName=" + name + "\nip=" + ip(host) + "\nzone=" + zoneOf(host)
               + "\nregion=midlands\nzones.mid-a=midlands\nzones.mid-b=midlands\nzones.mid-c=midlands\ninternalPortRange=7340,7355\nseeds=" + seeds
               + "\nlimits.cores=1\nlimits.linkMbps=1000.0\ndiscovery=registry\nentry=vip\nheartbeatMs=1200\n"
                 "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,gangs\ntolerate.machines=1\ntolerate.zones=1\n"
                 "tolerate.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactWindowMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n"
                 "bounds.drainMs=2000\nbounds.graceS=8\nbounds.lostSlackMs=200\nbounds.configMs=2000\nbounds.rollbackSlackMs=250\nbounds.outerMs=5000\n"
                 "bounds.revokeStrict=true\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=196\n"
                 "bounds.coldOver=1.5\nbounds.coldSlack=5\nbounds.evacMs=5000\nbounds.recoverS=12\nbounds.passMs=120\nbounds.againS=0\n"
                 "bounds.stallMs=6000\nbounds.requireFence=true\nbounds.ceilingWindowS=5\nbounds.ceilingOver=1.1\nconfigMode=highest\n";
    }

    process &run(const std::string &name, const std::string &settings, bool pipeLogs, rlim_t descriptors)
    {
        std::ofstream(m_folder / name) << settings;
        m_processes.push_back(std::make_unique<process>((m_folder / name).string(), logOf(name).string(), pipeLogs, descriptors));
        return *m_processes.back();
    }

    std::string m_net;
    std::filesystem::path m_folder;
    std::vector<std::unique_ptr<process>> m_processes;
};

/** A request as a worker got it. */
struct request {
    std::string line;
    std::string head;
    std::string body;

    std::string id() const
    {
        return headerOf(head, "X-Carawayloft-Request-Id");
    }
};

/** A plain worker that announces itself to control and answers on kept channels. */
class worker
{
public:
    /** Answers one request on the socket; false ends the channel. */
    using handler = std::function<bool(int, const request &)>;

    worker(const deployment &in, std::string id, int host, std::string service, handler handle)
        : m_in(in)
        , m_id(std::move(id))
        , m_ip(in.ip(host))
        , m_service(std::move(service))
        , m_handle(std::move(handle))
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = addressOf(m_ip, workerPort);
        m_isListening = bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0 && listen(m_listener, 512) == 0;
        m_accepting = std::thread([this] { accept(); });
        m_announcing = std::thread([this] { announce(); });
    }

    ~worker()
    {
        m_stop = true;
        shutdown(m_listener, SHUT_RDWR);
        m_accepting.join();
        m_announcing.join();
        close(m_listener);
        while (m_serving > 0) {
            std::this_thread::sleep_for(10ms);
        }
    }

    worker(const worker &) = delete;
    worker &operator=(const worker &) = delete;

    bool isListening() const
    {
        return m_isListening;
    }

    /** When each request was run first, by its id. */
    std::map<std::string, double> runs() const
    {
        const std::lock_guard guard(m_lock);
        return m_ranAt;
    }

private:
    void announce()
    {
        for (long sequence = 1; !m_stop; ++sequence) {
            m_in.callControl("PUT",
                             "/-/instances/" + m_id,
                             R"({"service":")" + m_service + R"(","address":")" + m_ip + ":" + std::to_string(workerPort)
                                 + R"(","zone":"mid-a","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"born":)" + std::to_string(m_born)
                                 + R"(,"sequence":)" + std::to_string(sequence) + "}");
            for (int i = 0; i < 24 && !m_stop; ++i) {
                std::this_thread::sleep_for(50ms); // heartbeatMs is 1200.
            }
        }
    }

    void accept()
    {
        while (!m_stop) {
            const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket >= 0) {
                ++m_serving;
                std::thread([this, socket] {
                    serve(socket);
                    close(socket);
                    --m_serving;
                }).detach();
            }
        }
    }

    /** More bytes of a request; false at the end. */
    bool receiveMore(int socket, std::string &bytes) const
    {
        pollfd readable{socket, POLLIN, 0};
        while (poll(&readable, 1, 200) == 0) {
            if (m_stop) {
                return false;
            }
        }
        char buffer[16'384];
        const ssize_t count = recv(socket, buffer, sizeof(buffer), 0);
        if (count > 0) {
            bytes.append(buffer, static_cast<std::size_t>(count));
        }
        return count > 0;
    }

    void serve(int socket)
    {
        std::string bytes;
        for (;;) {
            std::size_t end = std::string::npos;
            while ((end = bytes.find("\r\n\r\n")) == std::string::npos) {
                if (!receiveMore(socket, bytes)) {
                    return;
                }
            }
            request got{bytes.substr(0, bytes.find("\r\n")), bytes.substr(0, end + 2), {}};
            bytes.erase(0, end + 4);
            const std::size_t length = std::strtoul(headerOf(got.head, "Content-Length").c_str(), nullptr, 10);
            while (bytes.size() < length) {
                if (!receiveMore(socket, bytes)) {
                    return;
                }
            }
            got.body = bytes.substr(0, length);
            bytes.erase(0, length);
            {
                const std::lock_guard guard(m_lock);
                m_ranAt.emplace(got.id(), seconds());
            }
            if (!m_handle(socket, got)) {
                return;
            }
        }
    }

    const deployment &m_in;
    std::string m_id;
    std::string m_ip;
    std::string m_service;
    handler m_handle;
    long m_born;
    int m_listener;
    bool m_isListening = false;
    std::atomic<bool> m_stop = false;
    std::atomic<int> m_serving = 0;
    mutable std::mutex m_lock;
    std::map<std::string, double> m_ranAt;
    std::thread m_accepting;
    std::thread m_announcing;
};

inline bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** The head of a worker's success. */
inline std::string successHead(const request &of, const std::string &more)
{
    return "HTTP/1.1 200 OK\r\nX-Carawayloft-Request-Id: " + of.id() + "\r\nX-Carawayloft-Response-Seal: seal-of-" + of.id() + "\r\n" + more + "\r\n";
}

inline bool answerWith(int socket, const request &to, const std::string &body)
{
    return sendAll(socket, successHead(to, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
}

/** A request of a client. */
inline std::string
clientRequest(const std::string &method, const std::string &path, const std::string &id, const std::string &body = {}, const std::string &more = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: ledger.example\r\nX-Carawayloft-Request-Id: " + id + "\r\nAuthorization: Token key-1\r\n" + more
           + (method == "GET" ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

/** A route of the configuration, to the service "records". */
inline std::string route(const std::string &name, const std::string &kind, int timeoutMs, const std::string &more = {})
{
    return R"({"name":")" + name + R"(","host":"ledger.example","pathPrefix":"/)" + name + R"(/","kind":")" + kind + R"(","timeoutMs":)"
           + std::to_string(timeoutMs) + R"(,"sloMs":300,"priority":1,"service":"records","attempts":2,"public":false)" + more + "}";
}

inline std::string configuration(int version, const std::string &routes)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
           + R"(],"services":[{"name":"records","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],)"
             R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
             R"("tenants":[{"name":"firm","apiKeys":["key-1"],"priority":1}]})";
}

} // namespace lab

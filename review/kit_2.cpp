#include "kit_2.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

static constexpr int controlPort = 8229;
static constexpr int frontPort = 8227;
static constexpr int readyPort = 8220;
static constexpr int workerPort = 8080;
static constexpr milliseconds heartbeat{1'200};
static constexpr int coreMemoryMb = 256;

const char *const tannbokBounds = "bounds.contactWindowMs=4000\nbounds.drainMs=2500\nbounds.configMs=2500\nbounds.budgetSlack=242\nbounds.recoverS=15\n"
                                  "tolerate.machines=2\n";

static const auto begin = std::chrono::steady_clock::now();

milliseconds elapsed()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
}

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

record::record(const std::string &path)
    : m_file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

record::~record()
{
    ::close(m_file);
}

void record::add(const std::string &line)
{
    const std::string out = std::to_string(elapsed().count()) + " ms  " + line + "\n";
    const std::lock_guard lock(m_lock);
    const ssize_t written = ::write(m_file, out.data(), out.size());
    (void)written;
}

bool isCalm()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string(trouble) == "0";
}

int message::status() const
{
    return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
}

std::string message::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

static sockaddr_in addressOf(const std::string &address)
{
    sockaddr_in out{};
    const std::size_t colon = address.rfind(':');
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

channel::channel(int socket)
    : m_socket(socket)
{
}

channel::~channel()
{
    close();
}

channel::channel(channel &&other) noexcept
    : m_socket(std::exchange(other.m_socket, -1))
    , m_pending(std::move(other.m_pending))
    , m_ended(other.m_ended)
{
}

channel &channel::operator=(channel &&other) noexcept
{
    close();
    m_socket = std::exchange(other.m_socket, -1);
    m_pending = std::move(other.m_pending);
    m_ended = other.m_ended;
    return *this;
}

channel channel::connect(const std::string &address, milliseconds limit, int receiveBuffer, int segment)
{
    channel out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    if (receiveBuffer > 0) {
        setsockopt(out.m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    if (segment > 0) {
        setsockopt(out.m_socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    }
    const sockaddr_in to = addressOf(address);
    if (::connect(out.m_socket, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0 && errno != EINPROGRESS) {
        out.close();
        return out;
    }
    pollfd waiting{out.m_socket, POLLOUT, 0};
    int failure = ETIMEDOUT;
    socklen_t size = sizeof(failure);
    if (::poll(&waiting, 1, static_cast<int>(limit.count())) == 1) {
        getsockopt(out.m_socket, SOL_SOCKET, SO_ERROR, &failure, &size);
    }
    if (failure != 0) {
        out.close();
        return out;
    }
    const int on = 1;
    setsockopt(out.m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return out;
}

void channel::close()
{
    if (m_socket >= 0) {
        ::close(std::exchange(m_socket, -1));
    }
}

void channel::reset()
{
    const linger now{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close();
}

bool channel::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        pollfd waiting{m_socket, POLLOUT, 0};
        if (errno != EAGAIN || ::poll(&waiting, 1, 20'000) != 1) {
            return false;
        }
    }
    return true;
}

std::string channel::read(std::size_t most, milliseconds limit)
{
    if (!m_pending.empty()) {
        const std::string out = m_pending.substr(0, most);
        m_pending.erase(0, out.size());
        return out;
    }
    pollfd waiting{m_socket, POLLIN, 0};
    if (m_socket < 0 || ::poll(&waiting, 1, static_cast<int>(std::max<milliseconds::rep>(0, limit.count()))) != 1) {
        m_ended = m_socket < 0;
        return {};
    }
    std::string out(most, '\0');
    const ssize_t count = ::recv(m_socket, out.data(), most, 0);
    m_ended = count <= 0;
    out.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
    return out;
}

static std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char each) { return std::tolower(each); });
    return text;
}

static void readHead(const std::string &head, message &out)
{
    std::size_t line = head.find("\r\n");
    out.start = head.substr(0, line);
    while (line != std::string::npos && line + 2 < head.size()) {
        const std::size_t next = head.find("\r\n", line + 2);
        const std::string text = head.substr(line + 2, next == std::string::npos ? next : next - line - 2);
        const std::size_t colon = text.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = std::min(text.find_first_not_of(' ', colon + 1), text.size());
            out.headers[lowerCase(text.substr(0, colon))] = text.substr(value);
        }
        line = next;
    }
    out.hasHead = true;
}

/** Moves whole chunks from @p raw to @p body; returns whether the last one has come. */
static bool takeChunks(std::string &raw, std::string &body)
{
    for (;;) {
        const std::size_t line = raw.find("\r\n");
        if (line == std::string::npos) {
            return false;
        }
        const std::size_t length = std::strtoul(raw.c_str(), nullptr, 16);
        if (raw.size() < line + 2 + length + 2) {
            return false;
        }
        body += raw.substr(line + 2, length);
        raw.erase(0, line + 2 + length + 2);
        if (length == 0) {
            return true;
        }
    }
}

message channel::readMessage(milliseconds limit, bool isAnswer)
{
    static constexpr std::size_t blockBytes = 65'536;
    const milliseconds until = elapsed() + limit;
    message out;
    std::string raw;
    std::size_t headEnd = std::string::npos;
    while (headEnd == std::string::npos) {
        const std::string bytes = read(blockBytes, until - elapsed());
        if (bytes.empty()) {
            return out;
        }
        raw += bytes;
        headEnd = raw.find("\r\n\r\n");
    }
    readHead(raw.substr(0, headEnd + 2), out);
    raw.erase(0, headEnd + 4);
    const bool isChunked = out.header("transfer-encoding") == "chunked";
    const std::string length = out.header("content-length");
    const bool untilEnd = isAnswer && !isChunked && length.empty();
    const std::size_t wanted = length.empty() ? 0 : std::stoul(length);
    for (;;) {
        if (isChunked) {
            out.isWhole = takeChunks(raw, out.body);
        } else if (!untilEnd && raw.size() >= wanted) {
            out.body = raw.substr(0, wanted);
            raw.erase(0, wanted);
            out.isWhole = true;
        }
        if (out.isWhole) {
            m_pending = raw + m_pending;
            return out;
        }
        const std::string bytes = read(blockBytes, until - elapsed());
        if (bytes.empty()) {
            out.body += raw;
            out.isWhole = untilEnd && m_ended;
            return out;
        }
        raw += bytes;
    }
}

process::process(const std::string &settingsFile, const std::string &logFile, std::size_t maxDescriptors)
    : m_pid(fork())
{
    if (m_pid != 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with this process, also where that is killed.
    const int log = ::open(logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const rlimit descriptors{maxDescriptors, maxDescriptors};
    setrlimit(RLIMIT_NOFILE, &descriptors);
    setenv("CARAWAYLOFT_CONFIG", settingsFile.c_str(), 1);
    execl("target/carawayloft_platform", "target/carawayloft_platform", nullptr);
    _exit(127);
}

process::~process()
{
    if (isRunning()) {
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
}

void process::signal(int number) const
{
    ::kill(m_pid, number);
}

bool process::isRunning()
{
    m_ended = m_ended || ::waitpid(m_pid, nullptr, WNOHANG) == m_pid;
    return !m_ended;
}

std::size_t process::peakMemoryKb() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:")) {
            return std::strtoul(line.c_str() + 6, nullptr, 10);
        }
    }
    return 0;
}

deployment::deployment(int replicas, int gateways, int frontMemoryMb, const std::string &more)
    : m_net("127." + std::to_string(1 + getpid() % 250) + "." + std::to_string(1 + getpid() / 250 % 250) + ".")
    , m_folder((std::filesystem::temp_directory_path() / ("review-2-" + std::to_string(getpid()))).string())
    , m_more(more)
    , m_replicaCount(replicas)
{
    std::filesystem::create_directories(m_folder);
    for (int i = 0; i < replicas; ++i) {
        m_replicas.push_back(start("core", i, coreMemoryMb, true));
    }
    for (int i = 0; i < gateways; ++i) {
        m_gateways.push_back(start("front", i, frontMemoryMb, true));
    }
}

std::unique_ptr<process> deployment::start(const std::string &role, int number, int memoryMb, bool isFirst) const
{
    static constexpr std::size_t frontDescriptors = 4'100;
    static constexpr std::size_t coreDescriptors = 4'096;
    const std::string name = role + "-" + std::to_string(number);
    const std::string file = m_folder + "/" + name + ".conf";
    std::ofstream(file) << settings(name, role, number, memoryMb, isFirst);
    return std::make_unique<process>(file, m_folder + "/" + name + ".log", role == "core" ? coreDescriptors : frontDescriptors);
}

bool deployment::revive(int replica)
{
    if (m_replicas.at(replica)->isRunning()) {
        return false;
    }
    m_replicas.at(replica) = start("core", replica, coreMemoryMb, false);
    return true;
}

deployment::~deployment()
{
    m_gateways.clear();
    m_replicas.clear();
    if (const char *kept = std::getenv("KEEP_LOGS")) {
        std::error_code ignored;
        std::filesystem::copy(m_folder, kept, std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing, ignored);
    }
    std::filesystem::remove_all(m_folder);
}

std::string deployment::settings(const std::string &name, const std::string &role, int number, int memoryMb, bool isFirst) const
{
    const std::string ip = host(role == "core" ? 1 + number : 11 + number);
    std::string seeds;
    for (int i = 0; i < std::min(m_replicaCount, 3); ++i) {
        seeds += (i == 0 ? "" : ",") + control(i);
    }
    std::string out = "nodeName=" + name + "\nrole=" + role + "\nmachineClass=" + role + "\nip=" + ip
                      + "\nzone=mid-a\nregion=midlands\nzones.mid-a=midlands\ninternalPortRange=7340,7355\nseeds=" + seeds
                      + "\nbootstrap=" + (isFirst ? "true" : "false") + "\nlimits.cores=1\nlimits.memoryMb=" + std::to_string(memoryMb)
                      + "\ndiscovery=registry\nentry=vip\nheartbeatMs=1200\ntolerate.machines=1\ntolerate.zones=1\n"
                        "bounds.contactWindowMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lostSlackMs=200\nbounds.configMs=2000\n"
                        "bounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=196\n"
                        "bounds.coldOver=1.5\nbounds.coldSlack=5\nbounds.evacMs=5000\nbounds.recoverS=12\nconfigMode=highest\n"
                      + m_more;
    if (role == "core") {
        const std::string data = m_folder + "/" + name + "-data";
        std::filesystem::create_directories(data);
        return out + "serves=control\nlossCounts=true\nlisten.control=" + control(number) + "\ndataDir=" + data + "\n";
    }
    return out + "serves=front\nlossCounts=false\nlisten.front=" + front(number) + "\nlisten.ready=" + ready(number) + "\n";
}

std::string deployment::host(int number) const
{
    return m_net + std::to_string(number);
}

std::string deployment::control(int replica) const
{
    return host(1 + replica) + ":" + std::to_string(controlPort);
}

std::string deployment::front(int gateway) const
{
    return host(11 + gateway) + ":" + std::to_string(frontPort);
}

std::string deployment::ready(int gateway) const
{
    return host(11 + gateway) + ":" + std::to_string(readyPort);
}

std::vector<std::string> deployment::controls() const
{
    std::vector<std::string> out;
    for (int i = 0; i < m_replicaCount; ++i) {
        out.push_back(control(i));
    }
    return out;
}

/** One call that follows redirects twice; the status, zero without an answer. */
static int call(std::string address, const std::string &method, const std::string &path, const std::string &body)
{
    static constexpr milliseconds limit{1'000};
    for (int hop = 0; hop < 3; ++hop) {
        channel to = channel::connect(address, limit);
        if (!to.isOpen()
            || !to.send(method + " " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return 0;
        }
        const message answer = to.readMessage(limit, true);
        if (answer.status() != 307) {
            return answer.isWhole ? answer.status() : 0;
        }
        const std::string location = answer.header("location");
        const std::size_t from = location.find("//") + 2;
        address = location.substr(from, location.find('/', from) - from);
    }
    return 0;
}

int deployment::order(const std::string &method, const std::string &path, const std::string &body, milliseconds limit) const
{
    const milliseconds until = elapsed() + limit;
    for (int i = 0; elapsed() < until; ++i) {
        const int status = call(control(i % m_replicaCount), method, path, body);
        if (status >= 200 && status < 500 && status != 408 && status != 429) {
            return status;
        }
        pause(milliseconds(100));
    }
    return 0;
}

bool deployment::isReady(int gateway) const
{
    return call(ready(gateway), "GET", "/-/ready", {}) == 200;
}

bool deployment::configure(const std::string &configuration) const
{
    if (order("PUT", "/-/config", configuration, milliseconds(15'000)) != 200) {
        return false;
    }
    for (std::size_t i = 0; i < m_gateways.size(); ++i) {
        while (!isReady(static_cast<int>(i))) {
            if (elapsed() > milliseconds(25'000)) {
                return false;
            }
            pause(milliseconds(50));
        }
    }
    return true;
}

worker::worker(const deployment &system, std::string service, int number, handler handle, std::string fields)
    : m_system(system)
    , m_service(std::move(service))
    , m_number(number)
    , m_handle(std::move(handle))
    , m_fields(std::move(fields))
{
    openPort();
    m_accepting = std::thread([this] { accept(); });
    m_announcing = std::thread([this] { announce(); });
}

worker::~worker()
{
    m_stopping = true;
    m_accepting.join();
    m_announcing.join();
    if (m_listener >= 0) {
        ::close(m_listener);
    }
    {
        const std::lock_guard lock(m_lock);
        for (const int each : m_sockets) {
            ::shutdown(each, SHUT_RDWR);
        }
    }
    while (m_serving > 0) {
        pause(milliseconds(5));
    }
}

std::string worker::id() const
{
    return "i-" + std::to_string(m_number) + "-" + std::to_string(m_life);
}

void worker::setFields(const std::string &fields)
{
    const std::lock_guard lock(m_lock);
    m_fields = fields;
    m_hasNews = true;
}

bool worker::openPort()
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in at = addressOf(m_system.host(101 + m_number) + ":" + std::to_string(workerPort));
    if (::bind(listener, reinterpret_cast<const sockaddr *>(&at), sizeof(at)) != 0 || ::listen(listener, 512) != 0) {
        ::close(listener);
        return false;
    }
    m_listener = listener;
    return true;
}

void worker::accept()
{
    while (!m_stopping) {
        if (m_listener < 0) {
            pause(milliseconds(10));
            if (elapsed().count() >= m_downUntil) {
                openPort();
            }
            continue;
        }
        pollfd waiting{m_listener, POLLIN, 0};
        if (::poll(&waiting, 1, 20) != 1) {
            continue;
        }
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (socket < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        ++m_serving;
        {
            const std::lock_guard lock(m_lock);
            m_sockets.push_back(socket);
        }
        std::thread([this, socket] {
            serve(socket);
            --m_serving;
        }).detach();
    }
}

void worker::serve(int socket)
{
    channel caller(socket);
    const int life = m_life;
    while (!m_stopping && life == m_life) {
        const message request = caller.readMessage(milliseconds(60'000), false);
        if (!request.isWhole || life != m_life) {
            break;
        }
        const std::string expected = request.header("x-carawayloft-expect-instance");
        if (!expected.empty() && expected != id()) {
            if (!caller.send("HTTP/1.1 421 Misdirected Request\r\nX-Carawayloft-Instance-Id: " + id() + "\r\nContent-Length: 0\r\n\r\n")) {
                break;
            }
            continue;
        }
        if (!m_handle(caller, request)) {
            break;
        }
    }
    {
        const std::lock_guard lock(m_lock);
        std::erase(m_sockets, socket);
    }
    if (life != m_life) {
        caller.reset();
    }
}

void worker::crash(milliseconds downTime)
{
    const std::lock_guard lock(m_lock);
    if (m_listener < 0) {
        return; // It is down already.
    }
    m_downUntil = (elapsed() + downTime).count();
    ++m_life;
    ::close(m_listener.exchange(-1));
    const linger now{1, 0};
    for (const int each : m_sockets) {
        setsockopt(each, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        ::shutdown(each, SHUT_RD); // Wakes its thread, which closes it with a reset.
    }
}

void worker::announce()
{
    std::map<int, std::int64_t> born;
    std::uint64_t sequence = 0;
    int announced = 0;
    while (!m_stopping) {
        if (m_listener < 0) {
            pause(milliseconds(10));
            continue;
        }
        const int life = m_life;
        if (!born.contains(life)) {
            born[life] = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            sequence = 0;
        }
        std::unique_lock lock(m_lock);
        const std::string fields = m_fields;
        m_hasNews = false;
        lock.unlock();
        const std::string body = "{\"service\":\"" + m_service + "\",\"address\":\"" + m_system.host(101 + m_number) + ":" + std::to_string(workerPort)
                                 + "\",\"zone\":\"mid-a\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":"
                                 + std::to_string(++sequence) + ",\"born\":" + std::to_string(born[life]) + fields + "}";
        bool accepted = false;
        for (const std::string &each : m_system.controls()) {
            accepted = accepted || call(each, "PUT", "/-/instances/i-" + std::to_string(m_number) + "-" + std::to_string(life), body) == 200;
        }
        announced = accepted ? life : announced;
        const milliseconds until = elapsed() + (accepted ? heartbeat : milliseconds(100));
        while (!m_stopping && elapsed() < until && !m_hasNews && (m_life == announced || !accepted)) {
            pause(milliseconds(10));
        }
    }
}

std::string worker::head(const message &request, int status, const std::string &more)
{
    return "HTTP/1.1 " + std::to_string(status) + " OK\r\nX-Carawayloft-Request-Id: " + request.header("x-carawayloft-request-id")
           + "\r\nX-Carawayloft-Response-Seal: seal-" + request.header("x-carawayloft-request-id") + "\r\n" + more + "\r\n";
}

std::string configuration(int version, const std::string &kind, int attempts, int timeoutMs, bool resumable)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[{\"name\":\"records\",\"host\":\"ledger.example\",\"pathPrefix\":\"/records/\",\"kind\":\""
           + kind + "\",\"timeoutMs\":" + std::to_string(timeoutMs) + ",\"sloMs\":300,\"priority\":1,\"service\":\"records\",\"attempts\":"
           + std::to_string(attempts) + ",\"public\":false,\"resumable\":" + (resumable ? "true" : "false")
           + "}],\"services\":[{\"name\":\"records\",\"healthPath\":\"/healthz\",\"maxConns\":552,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,"
             "\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
             "\"tenants\":[{\"name\":\"firm\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}";
}

std::string requestHead(const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &more)
{
    return method + " " + path + " HTTP/1.1\r\nHost: ledger.example\r\nX-Carawayloft-Request-Id: " + id
           + "\r\nX-Carawayloft-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\nAuthorization: Token key-1\r\n" + more + "\r\n";
}

} // namespace review

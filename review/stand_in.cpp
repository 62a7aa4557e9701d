#include "review/stand_in.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand_in {

static constexpr const char *program = "target/carawayloft_platform";
static constexpr double checkInPeriod = 1.2;
static constexpr double callTimeout = 1.0;

/** Time that a plain worker takes for a request. */
static constexpr double workTime = 0.01;

using steady = std::chrono::steady_clock;

double now()
{
    static const steady::time_point start = steady::now();
    return std::chrono::duration<double>(steady::now() - start).count();
}

void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

void sleepUntil(double time)
{
    sleepFor(time - now());
}

bool await(const std::function<bool()> &condition, double seconds)
{
    const double end = now() + seconds;
    while (!condition()) {
        if (now() >= end) {
            return false;
        }
        sleepFor(0.05);
    }
    return true;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

record::record(const std::string &path)
    : m_file(std::fopen(path.c_str(), "w"))
{
    if (m_file == nullptr) {
        std::fprintf(stderr, "cannot write %s\n", path.c_str());
        std::exit(couldNotRun);
    }
}

record::~record()
{
    std::fclose(m_file);
}

void record::line(const std::string &text)
{
    const std::lock_guard lock(m_lock);
    std::fprintf(m_file, "%8.3f %s\n", now(), text.c_str());
    std::fflush(m_file);
}

std::string message::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

int message::status() const
{
    const std::size_t space = startLine.find(' ');
    return space == std::string::npos ? 0 : std::atoi(startLine.c_str() + space);
}

connection::connection(int socket)
    : m_socket(socket)
{
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

connection::~connection()
{
    if (m_socket >= 0) {
        close(m_socket);
    }
}

static sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::unique_ptr<connection> connection::open(const std::string &ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(ip, port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(socket);
        return nullptr;
    }
    return std::make_unique<connection>(socket);
}

bool connection::send(const std::string &bytes)
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

bool connection::readMore(double until)
{
    pollfd waiting{m_socket, POLLIN, 0};
    const double left = until - now();
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left * 1'000) + 1) <= 0) {
        return false;
    }
    char bytes[16'384];
    const ssize_t count = recv(m_socket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<message> connection::receive(double seconds)
{
    const double until = now() + seconds;
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(until)) {
            return std::nullopt;
        }
    }
    message out;
    std::size_t begin = 0;
    while (begin < end) {
        const std::size_t lineEnd = std::min(m_buffer.find("\r\n", begin), end);
        const std::string line = m_buffer.substr(begin, lineEnd - begin);
        begin = lineEnd + 2;
        const std::size_t colon = line.find(':');
        if (out.startLine.empty()) {
            out.startLine = line;
        } else if (colon != std::string::npos) {
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            out.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
        }
    }
    m_buffer.erase(0, end + 4);
    const auto length = static_cast<std::size_t>(std::atol(out.header("content-length").c_str()));
    while (m_buffer.size() < length) {
        if (!readMore(until)) {
            return std::nullopt;
        }
    }
    out.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return out;
}

std::optional<message> call(const std::string &method, const std::string &ip, int port, const std::string &path, const std::string &body, double seconds)
{
    const auto to = connection::open(ip, port);
    const std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + ip
                             + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n";
    return to && to->send(head + body) ? to->receive(seconds) : std::nullopt;
}

deployment::deployment(record &out)
    : m_record(out)
    , m_folder((std::filesystem::temp_directory_path() / ("carawayloft-review-" + std::to_string(getpid()))).string())
{
    std::signal(SIGPIPE, SIG_IGN);
    std::error_code failure;
    std::filesystem::create_directories(m_folder, failure);
    if (failure || access(program, X_OK) != 0 || !findAddresses()) {
        out.line("cannot run: no program, folder or free addresses");
        std::exit(couldNotRun);
    }
}

void deployment::end()
{
    for (const auto &[name, process] : m_processes) {
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    m_processes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

static bool isFree(const std::string &ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(ip, port);
    const bool bound = bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(socket);
    return bound;
}

/** Takes loopback addresses of which none has one of the ports in use. */
bool deployment::findAddresses()
{
    for (int attempt = 0; attempt < 50; ++attempt) {
        const int seed = getpid() + attempt * 7;
        m_net = "127." + std::to_string(1 + seed % 200) + "." + std::to_string(seed / 200 % 250) + ".";
        bool free = true;
        for (int host = 1; host <= 40; ++host) {
            for (const int port : {frontPort, readyPort, controlPort, workerPort, 7'340, 7'341}) {
                free = free && isFree(m_net + std::to_string(host), port);
            }
        }
        if (free) {
            return true;
        }
    }
    return false;
}

std::string deployment::replicaIp(int number) const
{
    return m_net + std::to_string(number);
}

std::string deployment::frontIp(int number) const
{
    return m_net + std::to_string(10 + number);
}

std::string deployment::workerIp(int number) const
{
    return m_net + std::to_string(20 + number);
}

void deployment::start(const std::string &name, const std::string &settings)
{
    std::string text = "nodeName=" + name + "\nzone=mid-a\nregion=midlands\nzones.mid-a=midlands\ninternalPortRange=7340,7355\nseeds=";
    for (int number = 1; number <= replicas; ++number) {
        text += (number == 1 ? "" : ",") + replicaIp(number) + ":" + std::to_string(controlPort);
    }
    text += "\nheartbeatMs=1200\ndiscovery=registry\nentry=vip\nconfigMode=highest\ntolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\n"
            "bounds.contactWindowMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.configMs=2000\nbounds.retryBudgetRatio=0.2\n"
            "bounds.budgetWindowS=10\nbounds.budgetSlack=196\nbounds.coldOver=1.5\nbounds.coldSlack=5\n"
            + settings;
    const std::string path = m_folder + "/" + name + ".conf";
    std::ofstream(path) << text;
    const std::string log = m_folder + "/" + name + ".log";
    const std::string variable = "CARAWAYLOFT_CONFIG=" + path;
    const pid_t process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        char *const words[] = {const_cast<char *>(program), nullptr};
        char *const environment[] = {const_cast<char *>(variable.c_str()), nullptr};
        execve(program, words, environment);
        _exit(127);
    }
    m_processes[name] = process;
    m_record.line("start " + name);
}

void deployment::startReplica(int number, bool first)
{
    const std::string name = "core-" + std::to_string(number);
    const std::string data = m_folder + "/" + name;
    std::filesystem::create_directories(data);
    start(name,
          "role=control\nmachineClass=core\nserves=control\nip=" + replicaIp(number) + "\nlisten.control=" + replicaIp(number) + ":"
              + std::to_string(controlPort) + "\ndataDir=" + data + "\nbootstrap=" + (first ? "true" : "false") + "\n");
}

void deployment::startFront(int number)
{
    const std::string ip = frontIp(number);
    start("front-" + std::to_string(number),
          "role=gateway\nmachineClass=front\nserves=front\nip=" + ip + "\nlisten.front=" + ip + ":" + std::to_string(frontPort) + "\nlisten.ready=" + ip + ":"
              + std::to_string(readyPort) + "\nbootstrap=true\n");
}

bool deployment::hasEnded(int number)
{
    const std::string name = "core-" + std::to_string(number);
    int status = 0;
    if (waitpid(m_processes.at(name), &status, WNOHANG) <= 0) {
        return false;
    }
    m_processes.erase(name);
    m_record.line(name + " has ended by itself, "
                  + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "exit code " + std::to_string(WEXITSTATUS(status))));
    return true;
}

void deployment::killReplica(int number)
{
    const std::string name = "core-" + std::to_string(number);
    kill(m_processes.at(name), SIGKILL);
    waitpid(m_processes.at(name), nullptr, 0);
    m_processes.erase(name);
    m_record.line("kill " + name);
}

std::optional<message> deployment::callControl(const std::string &method, const std::string &path, const std::string &body)
{
    for (int attempt = 0; attempt < replicas; ++attempt) {
        const int replica = m_nextReplica;
        std::string ip = replicaIp(replica);
        std::optional<message> answer = call(method, ip, controlPort, path, body, callTimeout);
        for (int redirects = 0; answer && answer->status() == 307 && redirects < 2; ++redirects) {
            const std::string location = answer->header("location");
            const std::size_t begin = std::min(location.find("//"), location.size() - 2) + 2;
            ip = location.substr(begin, location.find(':', begin) - begin);
            answer = call(method, ip, controlPort, path, body, callTimeout);
        }
        if (answer && answer->status() >= 200 && answer->status() < 500 && answer->status() != 307) {
            return answer;
        }
        m_nextReplica = replica % replicas + 1;
    }
    return std::nullopt;
}

bool deployment::isReady(int front) const
{
    const std::optional<message> answer = call("GET", frontIp(front), readyPort, "/-/ready", {}, callTimeout);
    return answer && answer->status() == 200;
}

void serve(deployment &system, record &out, const std::string &ip, std::function<bool(connection &, const message &)> answer)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(ip, deployment::workerPort);
    if (bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || listen(listener, 512) != 0) {
        out.line("cannot run: a worker cannot listen");
        system.end();
        std::exit(couldNotRun);
    }
    std::thread([listener, answer = std::move(answer)] {
        while (true) {
            const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            std::thread([socket, answer] {
                connection caller(socket);
                std::optional<message> request = caller.receive(30.0);
                while (request && answer(caller, *request)) {
                    request = caller.receive(30.0);
                }
            }).detach();
        }
    }).detach();
}

worker::worker(deployment &system, record &out, int number, observer observe)
    : m_system(system)
    , m_record(out)
    , m_number(number)
    , m_observe(std::move(observe))
{
    serve(system, out, system.workerIp(number), [this](connection &caller, const message &request) { return answer(caller, request); });
    std::thread([this] { announce(); }).detach();
}

worker &worker::start(deployment &system, record &out, int number, observer observe)
{
    return *new worker(system, out, number, std::move(observe));
}

std::string worker::id() const
{
    return "i-" + std::to_string(m_number);
}

std::string worker::nextCheckIn()
{
    return R"({"service":"records","address":")" + m_system.workerIp(m_number) + ":" + std::to_string(deployment::workerPort)
           + R"(","zone":"mid-a","version":"v1","slots":48,"state":"ready","coldLeftMs":0,"born":1700000000000,"sequence":)" + std::to_string(++m_sequence)
           + "}";
}

void worker::stopCheckIns()
{
    m_announces = false;
}

void worker::announce()
{
    while (m_announces) {
        m_system.callControl("PUT", "/-/instances/" + id(), nextCheckIn());
        sleepFor(checkInPeriod);
    }
}

bool worker::answer(connection &caller, const message &request)
{
    const std::string name = request.header("x-carawayloft-request-id");
    if (request.header("x-carawayloft-expect-instance") != id()) {
        return caller.send("HTTP/1.1 421 Misdirected Request\r\nX-Carawayloft-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    m_observe(request);
    m_record.line("run " + name + " at " + id());
    sleepFor(workTime);
    return caller.send("HTTP/1.1 200 OK\r\nX-Carawayloft-Request-Id: " + name + "\r\nX-Carawayloft-Response-Seal: seal-of-" + name
                       + "\r\nContent-Length: 2\r\n\r\nok");
}

std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"fetch","host":"ledger.example","pathPrefix":"/records/","kind":"idempotent","timeoutMs":1500,"sloMs":300,"priority":2,)"
             R"("service":"records","attempts":2,"public":false,"sticky":false,"resumable":false}],)"
             R"("services":[{"name":"records","healthPath":"/healthz","maxConns":960,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],)"
             R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
             R"("tenants":[{"name":"firm","apiKeys":["key-1"],"priority":1}]})";
}

std::string clientRequest(const std::string &id)
{
    return "GET /records/" + id + " HTTP/1.1\r\nHost: ledger.example\r\nX-Carawayloft-Request-Id: " + id
           + "\r\nX-Carawayloft-Deadline-Ms: 3000\r\nAuthorization: Token key-1\r\n\r\n";
}

} // namespace stand_in

#include "process/cluster.h"

#include "ends/digest.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace carawayloft::test_support {

static const std::string bin = CARAWAYLOFT_BIN;

/** Ports that one cluster uses from its base on. */
static constexpr unsigned portsOfCluster = 120;
static constexpr unsigned firstPort = 20'000;
static constexpr unsigned lastPort = 32'000;

static constexpr unsigned framesOffset = 0;
static constexpr unsigned controlHttpOffset = 10;
static constexpr unsigned entryOffset = 20;
static constexpr unsigned agentFramesOffset = 30;
static constexpr unsigned agentHttpOffset = 60;
static constexpr unsigned backendOffset = 90;

static bool isFree(unsigned port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int reuse = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool free = bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    close(socket);
    return free;
}

/** A range of ports that nobody listens on; tests that run at once start their search at different places. */
static unsigned findPorts()
{
    const unsigned ranges = (lastPort - firstPort) / portsOfCluster;
    for (unsigned i = 0; i < ranges; ++i) {
        const unsigned base = firstPort + (static_cast<unsigned>(getpid()) + i) % ranges * portsOfCluster;
        bool free = true;
        for (unsigned offset = 0; free && offset < portsOfCluster; ++offset) {
            free = isFree(base + offset);
        }
        if (free) {
            return base;
        }
    }
    return firstPort;
}

cluster::cluster(cluster_options options)
    : m_options(std::move(options))
    , m_base(findPorts())
{
    std::string folder = std::filesystem::temp_directory_path() / "carawayloft-test-XXXXXX";
    m_folder = mkdtemp(folder.data());
    static const std::vector<std::string> zones{"mid-a", "mid-b", "mid-c"};
    unsigned index = 0;
    for (unsigned i = 1; i <= m_options.engines; ++i) {
        m_hosts["engine-" + std::to_string(i)] = {index++, zones[(i - 1) / 2 % zones.size()], true};
    }
    for (unsigned i = 1; i <= m_options.records; ++i) {
        m_hosts["records-" + std::to_string(i)] = {index++, zones[(i - 1) % zones.size()], false};
    }
    if (m_options.together) {
        startTogether();
        return;
    }
    for (unsigned i = 1; i <= m_options.controls; ++i) {
        startControl(i);
    }
    for (unsigned i = 1; i <= m_options.entries; ++i) {
        startEntry(i);
    }
    for (const auto &[host, place] : m_hosts) {
        startAgent(host);
        startBackend(host);
    }
}

cluster::~cluster()
{
    if (::testing::Test::HasFailure()) {
        std::cerr << "logs of the failed test are in " << m_folder << '\n';
        m_processes.clear();
        return;
    }
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
}

unsigned cluster::port(unsigned offset) const
{
    return m_base + offset;
}

std::string cluster::address(unsigned offset) const
{
    return "127.0.0.1:" + std::to_string(port(offset));
}

void cluster::write(const std::string &name, const std::string &zone, const std::string &roles, const std::string &sections) const
{
    std::ofstream file(settingsFile(name));
    file << "[process]\nname = \"" << name << "\"\nzone = \"" << zone << "\"\nroles = [" << roles << "]\n\n[control]\npeers = [\n";
    for (unsigned i = 1; i <= m_options.controls; ++i) {
        file << "    { number = " << i << ", frames = \"" << address(framesOffset + i) << "\", http = \"" << address(controlHttpOffset + i) << "\" },\n";
    }
    file << "]\n\n" << sections;
}

void cluster::start(const std::string &name, std::vector<std::string> words)
{
    m_processes[name] = std::make_unique<child>(words, m_folder + "/" + name + ".log");
}

std::string cluster::replicaSection(unsigned number) const
{
    return "[replica]\nnumber = " + std::to_string(number) + "\ndata = \"" + dataFolder(number) + "\"\nsettle_time_ms = 500\n" + m_options.replicaSettings;
}

std::string cluster::entrySection(unsigned number) const
{
    return "[entry]\nhttp = \"" + address(entryOffset + number) + "\"\n" + m_options.entrySettings;
}

std::string cluster::agentSection(const std::string &host) const
{
    const host_place &place = m_hosts.at(host);
    return "[agent]\nhost = \"" + host + "\"\nfabric_domain = \"" + place.zone + "-fabric\"\nframes = \"" + address(agentFramesOffset + place.index)
           + "\"\nhttp = \"" + address(agentHttpOffset + place.index) + "\"\n" + m_options.agentSettings;
}

void cluster::startControl(unsigned number)
{
    const std::string name = "control-" + std::to_string(number);
    write(name, "mid-" + std::string(1, static_cast<char>('a' + number - 1)), "\"control\"", replicaSection(number));
    start(name, {bin + "/carawayloftd", settingsFile(name)});
}

void cluster::startEntry(unsigned number)
{
    const std::string name = "entry-" + std::to_string(number);
    write(name, number == 1 ? "mid-a" : "mid-b", "\"entry\"", entrySection(number));
    start(name, {bin + "/carawayloftd", settingsFile(name)});
}

void cluster::startAgent(const std::string &host)
{
    write("agent-" + host, m_hosts.at(host).zone, "\"agent\"", agentSection(host));
    start("agent-" + host, {bin + "/carawayloftd", settingsFile("agent-" + host)});
}

void cluster::startTogether()
{
    write("all", "mid-a", R"("control", "entry", "agent")", replicaSection(1) + entrySection(1) + agentSection("records-1"));
    start("all", {bin + "/carawayloftd", settingsFile("all")});
    startBackend("records-1");
}

void cluster::startBackend(const std::string &host)
{
    const host_place &place = m_hosts.at(host);
    std::vector<std::string> words{
        bin + (place.engine ? "/tools/fake_engine" : "/tools/fake_service"), "--listen", address(backendOffset + place.index), "--agent", agentUrl(host)};
    if (!place.engine) {
        words.insert(words.end(), {"--calls-log", m_folder + "/calls-" + host + ".tsv"});
    }
    const auto &more = place.engine ? m_options.engineOptions : m_options.recordOptions;
    words.insert(words.end(), more.begin(), more.end());
    start(host, words);
}

child &cluster::process(const std::string &name)
{
    return *m_processes.at(name);
}

bool cluster::isRunning(const std::string &name) const
{
    return m_processes.at(name)->isRunning();
}

std::string cluster::entryUrl(unsigned number) const
{
    return "http://" + address(entryOffset + number);
}

std::string cluster::controlUrl(unsigned number) const
{
    return "http://" + address(controlHttpOffset + number);
}

std::string cluster::backendUrl(const std::string &host) const
{
    return "http://" + address(backendOffset + m_hosts.at(host).index);
}

std::string cluster::agentUrl(const std::string &host) const
{
    return "http://" + address(agentHttpOffset + m_hosts.at(host).index);
}

unsigned cluster::agentFramesPort(const std::string &host) const
{
    return port(agentFramesOffset + m_hosts.at(host).index);
}

std::string cluster::dataFolder(unsigned control) const
{
    return m_folder + "/data-" + std::to_string(control);
}

std::string cluster::settingsFile(const std::string &process) const
{
    return m_folder + "/" + process + ".toml";
}

std::pair<int, std::string> cluster::tool(const std::vector<std::string> &words) const
{
    std::string replicas;
    for (unsigned i = 1; i <= m_options.controls; ++i) {
        replicas += (i == 1 ? "" : ",") + address(controlHttpOffset + i);
    }
    static unsigned run = 0;
    const std::string output = m_folder + "/tool-" + std::to_string(++run) + ".txt";
    std::vector<std::string> all{bin + "/carawayloft"};
    all.insert(all.end(), words.begin(), words.end());
    all.insert(all.end(), {"--control", replicas});
    child process(all, output);
    const int code = process.wait();
    return {code, process.log()};
}

nlohmann::json cluster::status() const
{
    for (unsigned i = 1; i <= m_options.controls; ++i) {
        http_question question;
        question.url = controlUrl(i) + "/v1/status";
        question.timeoutMs = 1'000;
        const http_answer answer = ask(question);
        if (answer.status == 200) {
            return nlohmann::json::parse(answer.body, nullptr, false);
        }
    }
    return {};
}

unsigned cluster::leader() const
{
    const nlohmann::json now = status();
    return now.is_object() ? now.value("leader", 0U) : 0U;
}

void cluster::bringUp()
{
    ASSERT_EQ(tool({"services", "put", "drafting-models", "--kind", "model", "--hosts-per-group", "2"}).first, 0);
    ASSERT_EQ(tool({"services", "put", "checklist-records", "--kind", "plain"}).first, 0);
    ASSERT_EQ(tool({"accounts", "put", "closedesk", "--key", "test-key"}).first, 0);
    const std::size_t groups = m_options.engines / 2 + m_options.records;
    ASSERT_TRUE(await("all groups serve", [&] {
        const nlohmann::json now = status();
        std::size_t serving = 0;
        for (const auto &each : now.is_object() ? now["groups"] : nlohmann::json::array()) {
            serving += each["serving"] == true ? 1 : 0;
        }
        return serving == groups;
    }));
    for (unsigned i = 1; i <= m_options.entries; ++i) {
        if (m_options.engines > 0) {
            ASSERT_TRUE(await("entry answers", [&] { return ask(question(i, "warm up", 1)).status == 200; }));
        }
        if (m_options.records > 0) {
            http_question read;
            read.url = entryUrl(i) + "/services/checklist-records/ready";
            read.headers = {"Authorization: Bearer test-key"};
            ASSERT_TRUE(await("entry reads records", [&] { return ask(read).status == 200; }));
        }
    }
}

http_question cluster::question(unsigned entry, const std::string &text, unsigned tokens) const
{
    http_question question;
    question.method = "POST";
    question.url = entryUrl(entry) + "/v1/chat/completions";
    question.headers = {"Authorization: Bearer test-key", "Content-Type: application/json"};
    question.body
        = nlohmann::json{{"model", "drafting-models"}, {"stream", true}, {"max_tokens", tokens}, {"messages", {{{"role", "user"}, {"content", text}}}}}.dump();
    return question;
}

http_question cluster::signOff(unsigned entry, const std::string &key, const std::string &body, long limitMs) const
{
    http_question question;
    question.method = "POST";
    question.url = entryUrl(entry) + "/services/checklist-records/sign-offs";
    question.headers = {"Authorization: Bearer test-key", "Content-Type: application/json", "Carawayloft-Timeout-Ms: " + std::to_string(limitMs)};
    if (!key.empty()) {
        question.headers.push_back("Idempotency-Key: " + key);
    }
    question.body = body;
    question.timeoutMs = limitMs + 10'000;
    return question;
}

void cluster::sendCutRequest(unsigned entry) const
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port(entryOffset + entry)));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const std::string half
        = "POST /services/checklist-records/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer test-key\r\nContent-Length: 100\r\n\r\n{\"step\":";
    const bool sent = connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
                      && ::send(socket, half.data(), half.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(half.size());
    EXPECT_TRUE(sent);
    close(socket);
}

std::vector<std::string> cluster::callsRun() const
{
    std::vector<std::string> calls;
    for (const auto &[host, place] : m_hosts) {
        std::ifstream file(m_folder + "/calls-" + host + ".tsv");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("POST\t")) {
                calls.push_back(line.substr(line.rfind('\t') + 1));
            }
        }
    }
    return calls;
}

bool cluster::await(const std::string &what, const std::function<bool()> &condition, int seconds) const
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            ADD_FAILURE() << "did not come about: " << what;
            return false;
        }
        usleep(20'000);
    }
    return true;
}

std::string streamedText(const std::string &body)
{
    std::string text;
    std::istringstream in(body);
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("data: {")) {
            text += nlohmann::json::parse(line.substr(6))["choices"][0]["delta"]["content"].get<std::string>();
        }
    }
    return text;
}

std::string expectedText(const std::string &body, unsigned tokens)
{
    const std::uint64_t seed = fastDigest(nlohmann::json::parse(body)["messages"].dump());
    std::string text;
    for (unsigned i = 0; i < tokens; ++i) {
        text += "t" + std::to_string((seed + i) % 1000) + "_" + std::to_string(i) + " ";
    }
    return text;
}

} // namespace carawayloft::test_support

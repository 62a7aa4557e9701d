#pragma once

#include "process/child.h"
#include "process/http_call.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>

namespace carawayloft::test_support {

/** What a cluster of separate processes consists of. */
struct cluster_options {
    unsigned controls = 3;
    unsigned entries = 2;
    unsigned engines = 4; /**< Two a zone; groups of two hosts. */
    unsigned records = 3; /**< One a zone. */
    std::vector<std::string> engineOptions;
    std::vector<std::string> recordOptions;
    bool together = false; /**< One process holds a control replica, an entry and the agent of one record service. */
    std::string replicaSettings; /**< More lines of the [replica] section. */
    std::string entrySettings;
    std::string agentSettings;
};

/** Runs carawayloft as separate processes on loopback, for tests that kill, freeze and stop them. */
class cluster
{
public:
    explicit cluster(cluster_options options = {});
    ~cluster();

    /** Declares services and the account, and waits until all groups serve and entries are ready. */
    void bringUp();

    void startControl(unsigned number);
    void startEntry(unsigned number);
    void startAgent(const std::string &host);
    void startBackend(const std::string &host);

    child &process(const std::string &name);
    bool isRunning(const std::string &name) const;

    std::string entryUrl(unsigned number) const;
    std::string controlUrl(unsigned number) const;
    std::string backendUrl(const std::string &host) const;
    std::string agentUrl(const std::string &host) const;
    unsigned agentFramesPort(const std::string &host) const;
    std::string dataFolder(unsigned control) const;
    std::string settingsFile(const std::string &process) const;

    /** Runs the tool; its exit code and output. */
    std::pair<int, std::string> tool(const std::vector<std::string> &words) const;

    nlohmann::json status() const;
    unsigned leader() const;

    /** A streamed question at an entry, and a sign-off. */
    http_question question(unsigned entry, const std::string &text, unsigned tokens) const;
    http_question signOff(unsigned entry, const std::string &key, const std::string &body, long limitMs = 10'000) const;

    /** Sends half of a sign-off's body to an entry and closes the connection. */
    void sendCutRequest(unsigned entry) const;

    /** Bodies of the calls that the record services ran, over all of them. */
    std::vector<std::string> callsRun() const;

    /** Waits for an event; fails the test when it does not come in time. */
    bool await(const std::string &what, const std::function<bool()> &condition, int seconds = 30) const;

private:
    struct host_place {
        unsigned index = 0;
        std::string zone;
        bool engine = false;
    };

    void startTogether();
    std::string replicaSection(unsigned number) const;
    std::string entrySection(unsigned number) const;
    std::string agentSection(const std::string &host) const;
    void write(const std::string &name, const std::string &zone, const std::string &roles, const std::string &sections) const;
    void start(const std::string &name, std::vector<std::string> words);
    unsigned port(unsigned offset) const;
    std::string address(unsigned offset) const;

    cluster_options m_options;
    std::string m_folder;
    unsigned m_base = 0;
    std::map<std::string, host_place> m_hosts;
    std::map<std::string, std::unique_ptr<child>> m_processes;
};

/** The text of a streamed answer: the contents of its tokens, joined. */
std::string streamedText(const std::string &body);

/** The text that a fake engine generates for this length, whatever the group. */
std::string expectedText(const std::string &body, unsigned tokens);

} // namespace carawayloft::test_support

#include "cli/control_client.h"
#include "cli/intent_text.h"
#include "cli/request_story.h"
#include "cli/table.h"
#include "codec/json_text.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <random>
#include <sstream>

using namespace carawayloft;
using nlohmann::ordered_json;

/** Exit codes; docs/OPERATIONS.md lists the same. */
static constexpr int exitOk = 0;
static constexpr int exitRefused = 1;
static constexpr int exitUsage = 2;

namespace {

/** The options that every command has, and its own words. */
class command_line
{
public:
    command_line(const std::string &command, const std::string &description)
        : m_line(description, ' ', "0.1.0")
        , m_control("",
                    "control",
                    "Control replicas; the variable CARAWAYLOFT_CONTROL does the same.",
                    false,
                    fromEnvironment("CARAWAYLOFT_CONTROL"),
                    "IP:port,...",
                    m_line)
        , m_json("", "json", "Print JSON for machines.", m_line)
        , m_id("", "request-id", "Name of this command; a resend under it gets the first answer.", false, randomId(), "text", m_line)
        , m_author("", "author", "Who commands.", false, fromEnvironment("USER"), "name", m_line)
        , m_seen("", "seen", "Revision that this command was decided on; refused if the state has changed since.", false, 0, "revision", m_line)
        , m_name("carawayloft " + command)
    {
        m_line.setExceptionHandling(false);
    }

    TCLAP::CmdLine &line()
    {
        return m_line;
    }

    void parse(std::vector<std::string> words)
    {
        words.insert(words.begin(), m_name);
        m_line.parse(words);
    }

    bool json() const
    {
        return m_json.getValue();
    }

    cli::control_client client() const
    {
        std::vector<std::string> replicas;
        std::istringstream in(m_control.getValue());
        for (std::string each; std::getline(in, each, ',');) {
            replicas.push_back(each);
        }
        return cli::control_client(replicas);
    }

    /** Sends a command of @p type with its @p fields. */
    result<ordered_json> send(const std::string &type, ordered_json fields) const
    {
        fields["type"] = type;
        fields["command_id"] = m_id.getValue();
        fields["author"] = m_author.getValue().empty() ? std::string("operator") : m_author.getValue();
        fields["seen"] = m_seen.getValue();
        return client().post("/v1/commands", fields);
    }

private:
    static std::string fromEnvironment(const char *name)
    {
        const char *value = std::getenv(name);
        return value == nullptr ? std::string() : std::string(value);
    }

    static std::string randomId()
    {
        std::random_device entropy;
        std::ostringstream id;
        id << std::hex << entropy() << entropy();
        return id.str();
    }

    TCLAP::CmdLine m_line;
    TCLAP::ValueArg<std::string> m_control;
    TCLAP::SwitchArg m_json;
    TCLAP::ValueArg<std::string> m_id;
    TCLAP::ValueArg<std::string> m_author;
    TCLAP::ValueArg<std::uint64_t> m_seen;
    std::string m_name;
};

using words = std::vector<std::string>;
using command = std::function<int(const words &)>;

struct command_entry {
    const char *summary;
    command run;
};

} // namespace

static int report(const error &why)
{
    std::cerr << describe(why) << '\n';
    return exitRefused;
}

static int printList(const std::string &path, const words &columns, const command_line &line)
{
    const auto answer = line.client().get(path);
    if (failed(answer)) {
        return report(errorOf(answer));
    }
    line.json() ? void(std::cout << jsonText(valueOf(answer), 2) << '\n') : cli::printTable(std::cout, columns, valueOf(answer));
    return exitOk;
}

static int printAccepted(const result<ordered_json> &answer, const command_line &line)
{
    if (failed(answer)) {
        return report(errorOf(answer));
    }
    if (line.json()) {
        std::cout << jsonText(valueOf(answer)) << '\n';
    } else {
        std::cout << "accepted at revision " << valueOf(answer)["revision"] << '\n';
    }
    return exitOk;
}

static command listCommand(const std::string &name, const std::string &description, words columns)
{
    return [=](const words &arguments) {
        command_line line(name, description);
        line.parse(arguments);
        return printList("/v1/" + name, columns, line);
    };
}

static int runStatus(const words &arguments)
{
    command_line line("status", "Shows replicas, zones, services with the users' three measures, groups and hosts.");
    line.parse(arguments);
    const auto answer = line.client().get("/v1/status");
    if (failed(answer)) {
        return report(errorOf(answer));
    }
    const ordered_json &status = valueOf(answer);
    if (line.json()) {
        std::cout << jsonText(status, 2) << '\n';
        return exitOk;
    }
    std::cout << "revision " << status["revision"] << ", term " << status["term"] << ", leader " << status["leader"] << ", subscribers "
              << status["subscribers"] << "\n\nZones\n";
    cli::printTable(std::cout, {"zone", "state"}, status["zones"]);
    std::cout << "\nServices\n";
    cli::printTable(std::cout, {"service", "groups", "serving", "stranded_hosts", "group_downtime_ms", "moving_ms", "moving_served_ms"}, status["measures"]);
    std::cout << "\nGroups\n";
    cli::printTable(std::cout, {"group", "epoch", "service", "zone", "state", "serving", "running", "hosts"}, status["groups"]);
    std::cout << "\nHosts\n";
    cli::printTable(std::cout, {"host", "zone", "fabric_domain", "service", "leaving", "cold_limit", "warm_limit"}, status["hosts"]);
    return exitOk;
}

static int runServicesPut(const words &arguments)
{
    command_line line("services put", "Declares a service.");
    TCLAP::UnlabeledValueArg<std::string> service("service", "Name of the service.", true, "", "SERVICE", line.line());
    TCLAP::ValueArg<std::string> kind("", "kind", "model or plain.", true, "", "kind", line.line());
    TCLAP::ValueArg<unsigned> hosts("", "hosts-per-group", "Hosts of a group.", false, 1, "number", line.line());
    TCLAP::MultiArg<std::string> methods("", "idempotent", "A method besides GET and HEAD that may be repeated.", false, "method", line.line());
    line.parse(arguments);
    return printAccepted(
        line.send(
            "put_service",
            {{"service", service.getValue()}, {"kind", kind.getValue()}, {"hosts_per_group", hosts.getValue()}, {"idempotent_methods", methods.getValue()}}),
        line);
}

static int runAccountsPut(const words &arguments)
{
    command_line line("accounts put", "Declares a client account; the key is kept as a digest only.");
    TCLAP::UnlabeledValueArg<std::string> account("account", "Name of the client account.", true, "", "ACCOUNT", line.line());
    TCLAP::ValueArg<std::string> key("", "key", "Bearer key of the account.", true, "", "key", line.line());
    TCLAP::ValueArg<unsigned> weight("", "weight", "Share under contention.", false, 1, "number", line.line());
    TCLAP::ValueArg<unsigned> limit("", "max-in-flight", "Requests in flight at one entry.", false, 256, "number", line.line());
    line.parse(arguments);
    return printAccepted(
        line.send(
            "put_account", {{"account", account.getValue()}, {"key", key.getValue()}, {"weight", weight.getValue()}, {"max_in_flight", limit.getValue()}}),
        line);
}

static int sendZone(const words &arguments, const std::string &name, const std::string &description, const std::string &state)
{
    command_line line("zone " + name, description);
    TCLAP::UnlabeledValueArg<std::string> zone("zone", "Name of the availability zone.", true, "", "ZONE", line.line());
    TCLAP::SwitchArg now("", "now", "At once; the only way there is without a plan.", line.line());
    TCLAP::SwitchArg force("", "force", "Even if a service is left without a group.", line.line());
    line.parse(arguments);
    return printAccepted(line.send("put_zone", {{"zone", zone.getValue()}, {"state", state}, {"force", force.getValue()}}), line);
}

static void printPlan(const ordered_json &plan, const std::string &timeZone)
{
    const wall_time deadline(duration(plan["deadline_ms"].get<std::int64_t>()));
    std::cout << "plan " << plan["plan"] << ": empty " << plan["leaving"].get<std::string>() << " by " << cli::formatTime(deadline, timeZone) << '\n'
              << "state " << plan["state"].get<std::string>() << ", next step " << plan["next_step"].get<unsigned>() + 1 << " of " << plan["steps"].size()
              << ", " << (plan["meets_deadline"].get<bool>() ? "meets the deadline" : "DOES NOT MEET the deadline") << '\n';
    cli::printTable(std::cout, {"kind", "zone", "groups", "expected_s"}, plan["steps"]);
}

static int showPlan(const command_line &line, const std::string &number, const std::string &timeZone)
{
    const auto plan = line.client().get("/v1/plans/" + number);
    if (failed(plan)) {
        return report(errorOf(plan));
    }
    line.json() ? void(std::cout << jsonText(valueOf(plan), 2) << '\n') : printPlan(valueOf(plan), timeZone);
    return exitOk;
}

static int runIntent(const words &arguments)
{
    command_line line("intent", "States what is wanted and shows the plan for it; nothing changes before it is confirmed.");
    TCLAP::UnlabeledValueArg<std::string> text("text", "For example 'empty mid-a by Sunday noon'.", true, "", "TEXT", line.line());
    TCLAP::ValueArg<std::string> timeZone("", "time-zone", "IANA name; the machine's own without it.", false, "", "name", line.line());
    line.parse(arguments);
    const wall_time now = std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
    const auto intent = cli::parseIntent(text.getValue(), timeZone.getValue(), now);
    if (failed(intent)) {
        return report(errorOf(intent));
    }
    const auto answer = line.send("intent",
                                  {{"leaving", valueOf(intent).leaving.value()},
                                   {"arriving", valueOf(intent).arriving.value()},
                                   {"deadline_ms", valueOf(intent).deadline.time_since_epoch().count()}});
    if (failed(answer)) {
        return report(errorOf(answer));
    }
    return showPlan(line, jsonText(valueOf(answer)["revision"]), timeZone.getValue());
}

static int runPlanShow(const words &arguments)
{
    command_line line("plan show", "Shows a plan and how far it has come.");
    TCLAP::UnlabeledValueArg<std::uint64_t> plan("plan", "Number of the plan.", true, 0, "PLAN", line.line());
    TCLAP::ValueArg<std::string> timeZone("", "time-zone", "IANA name; the machine's own without it.", false, "", "name", line.line());
    line.parse(arguments);
    return showPlan(line, std::to_string(plan.getValue()), timeZone.getValue());
}

static int sendPlan(const words &arguments, const std::string &name, const std::string &description)
{
    command_line line("plan " + name, description);
    TCLAP::UnlabeledValueArg<std::uint64_t> plan("plan", "Number of the plan.", true, 0, "PLAN", line.line());
    line.parse(arguments);
    return printAccepted(line.send(name + "_plan", {{"plan", plan.getValue()}}), line);
}

static int runClaimsShow(const words &arguments)
{
    command_line line("claims show", "Shows what became of a non-idempotent request.");
    TCLAP::UnlabeledValueArg<std::string> account("account", "Client account.", true, "", "ACCOUNT", line.line());
    TCLAP::UnlabeledValueArg<std::string> key("key", "Idempotency key.", true, "", "KEY", line.line());
    line.parse(arguments);
    const auto answer = line.client().get("/v1/claim?account=" + cli::escapeQuery(account.getValue()) + "&key=" + cli::escapeQuery(key.getValue()));
    if (failed(answer)) {
        return report(errorOf(answer));
    }
    std::cout << jsonText(valueOf(answer), 2) << '\n';
    return exitOk;
}

static int runClaimsSettle(const words &arguments)
{
    command_line line("claims settle", "Records what an operator found out about a claim whose outcome is unknown.");
    TCLAP::UnlabeledValueArg<std::string> account("account", "Client account.", true, "", "ACCOUNT", line.line());
    TCLAP::UnlabeledValueArg<std::string> key("key", "Idempotency key.", true, "", "KEY", line.line());
    TCLAP::ValueArg<std::string> outcome(
        "", "outcome", "ran: resends get the answer given here. did_not_run: a resend may run.", true, "", "ran|did_not_run", line.line());
    TCLAP::ValueArg<unsigned> status("", "status", "HTTP status for resends.", false, 200, "number", line.line());
    TCLAP::ValueArg<std::string> body("", "body", "JSON body for resends.", false, "", "JSON", line.line());
    line.parse(arguments);
    return printAccepted(line.send("settle_claim",
                                   {{"account", account.getValue()},
                                    {"key", key.getValue()},
                                    {"outcome", outcome.getValue()},
                                    {"status", status.getValue()},
                                    {"body", body.getValue()}}),
                         line);
}

static int runHostRemove(const words &arguments)
{
    command_line line("host remove", "Forgets a host that belongs to no group.");
    TCLAP::UnlabeledValueArg<std::string> host("host", "Name of the host.", true, "", "HOST", line.line());
    line.parse(arguments);
    return printAccepted(line.send("remove_host", {{"host", host.getValue()}}), line);
}

static int runQuarantineRelease(const words &arguments)
{
    command_line line("quarantine release", "Serves requests with a trait again.");
    TCLAP::UnlabeledValueArg<std::string> service("service", "Name of the service.", true, "", "SERVICE", line.line());
    TCLAP::UnlabeledValueArg<std::string> trait("trait", "The trait, as 'quarantine list' shows it.", true, "", "TRAIT", line.line());
    line.parse(arguments);
    return printAccepted(line.send("release_trait", {{"service", service.getValue()}, {"trait", trait.getValue()}}), line);
}

static int runExplain(const words &arguments)
{
    TCLAP::CmdLine line("Tells from the logs of several processes, in JSON form, what became of a request. '*' marks the line that decided it.", ' ', "0.1.0");
    TCLAP::UnlabeledValueArg<std::string> request("request", "The caller's id of the request.", true, "", "REQUEST-ID", line);
    TCLAP::UnlabeledMultiArg<std::string> files("logs", "Log files; standard input if none is named.", false, "LOG", line);
    line.setExceptionHandling(false);
    words all = arguments;
    all.insert(all.begin(), "carawayloft explain");
    line.parse(all);
    std::vector<log_line> lines;
    const auto add = [&](std::istream &in) {
        std::vector<log_line> more = readLogLines(in);
        lines.insert(lines.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    };
    for (const std::string &name : files.getValue()) {
        std::ifstream file(name);
        if (!file) {
            std::cerr << "cannot read " << name << "; name a log file\n";
            return exitRefused;
        }
        add(file);
    }
    if (files.getValue().empty()) {
        add(std::cin);
    }
    const request_story story = tellStory(request.getValue(), lines);
    if (story.lines.empty()) {
        std::cerr << "no line names request '" << request.getValue() << "'; add the logs of all gateways\n";
        return exitRefused;
    }
    for (std::size_t i = 0; i < story.lines.size(); ++i) {
        const log_line &each = story.lines[i];
        std::cout << (i == story.deciding ? "* " : "  ") << each.time << ' ' << each.process << ' ' << each.name;
        for (const auto &[name, value] : each.fields) {
            std::cout << ' ' << name << '=' << value;
        }
        std::cout << '\n';
    }
    return exitOk;
}

static const std::map<std::string, command_entry> &commands()
{
    static const std::map<std::string, command_entry> all{
        {"status", {"everything at a glance", runStatus}},
        {"zones", {"the availability zones", listCommand("zones", "Lists the availability zones.", {"zone", "state"})}},
        {"groups",
         {"the serving groups",
          listCommand("groups", "Lists the serving groups.", {"group", "epoch", "service", "zone", "state", "serving", "running", "hosts"})}},
        {"hosts", {"the hosts", listCommand("hosts", "Lists the hosts.", {"host", "zone", "fabric_domain", "service", "leaving", "agent"})}},
        {"services", {"the services", listCommand("services", "Lists the services.", {"service", "kind", "hosts_per_group", "idempotent_methods"})}},
        {"services put", {"declare a service", runServicesPut}},
        {"accounts", {"the client accounts", listCommand("accounts", "Lists the client accounts.", {"account", "weight", "max_in_flight"})}},
        {"accounts put", {"declare a client account", runAccountsPut}},
        {"zone out",
         {"take a zone out at once", [](const words &rest) { return sendZone(rest, "out", "Takes an availability zone out for new work.", "out"); }}},
        {"zone back",
         {"bring a zone back", [](const words &rest) { return sendZone(rest, "back", "Brings an availability zone back into service.", "serving"); }}},
        {"zone arriving",
         {"declare a zone arriving", [](const words &rest) { return sendZone(rest, "arriving", "Declares an availability zone as arriving.", "arriving"); }}},
        {"zone leaving",
         {"declare a zone leaving", [](const words &rest) { return sendZone(rest, "leaving", "Declares an availability zone as leaving.", "leaving"); }}},
        {"host remove", {"forget a host", runHostRemove}},
        {"explain", {"what became of a request, from logs", runExplain}},
        {"intent", {"state an intent and get a plan", runIntent}},
        {"plan list",
         {"the plans",
          [](const words &rest) {
              command_line line("plan list", "Lists the plans.");
              line.parse(rest);
              return printList("/v1/plans", {"plan", "leaving", "arriving", "state", "next_step", "meets_deadline"}, line);
          }}},
        {"plan show", {"a plan and its progress", runPlanShow}},
        {"plan confirm", {"carry a plan out", [](const words &rest) { return sendPlan(rest, "confirm", "Confirms a plan; its steps begin."); }}},
        {"plan cancel", {"stop a plan", [](const words &rest) { return sendPlan(rest, "cancel", "Cancels a plan; steps already done stay done."); }}},
        {"claims list",
         {"claims with unknown outcome",
          [](const words &rest) {
              command_line line("claims list", "Lists the claims whose outcome is unknown.");
              line.parse(rest);
              return printList("/v1/claims", {"account", "key", "service", "opened_at_ms", "state"}, line);
          }}},
        {"quarantine list",
         {"traits whose requests are rejected",
          [](const words &rest) {
              command_line line("quarantine list", "Lists the traits whose requests are rejected, because they crash servers.");
              line.parse(rest);
              return printList("/v1/quarantine", {"service", "trait", "crashes"}, line);
          }}},
        {"quarantine release", {"serve requests with a trait again", runQuarantineRelease}},
        {"claims show", {"what became of a request", runClaimsShow}},
        {"claims settle", {"record the outcome of an unknown claim", runClaimsSettle}},
    };
    return all;
}

static int usage(std::ostream &out, int code)
{
    out << "Usage: carawayloft COMMAND [options]; each command has --help.\n\n";
    for (const auto &[name, entry] : commands()) {
        out << "  " << name << std::string(name.size() < 16 ? 16 - name.size() : 1, ' ') << entry.summary << '\n';
    }
    return code;
}

static int dispatch(const words &arguments)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help") {
        return usage(arguments.empty() ? std::cerr : std::cout, arguments.empty() ? exitUsage : exitOk);
    }
    if (arguments.size() >= 2) {
        const auto two = commands().find(arguments[0] + " " + arguments[1]);
        if (two != commands().end()) {
            return two->second.run({arguments.begin() + 2, arguments.end()});
        }
    }
    const auto one = commands().find(arguments[0]);
    return one == commands().end() ? usage(std::cerr, exitUsage) : one->second.run({arguments.begin() + 1, arguments.end()});
}

int main(int argc, char **argv)
{
    try {
        return dispatch({argv + 1, argv + argc});
    } catch (const TCLAP::ExitException &wanted) {
        return wanted.getExitStatus();
    } catch (const TCLAP::ArgException &failure) {
        std::cerr << failure.error() << ' ' << failure.argId() << "; see --help of the command\n";
        return exitUsage;
    }
}

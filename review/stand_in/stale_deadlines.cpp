// Workers run requests and their answers are lost. The requests may run again, but a worker must then be told how much time is left.

#include "stand_in.h"

#include <algorithm>
#include <cstdlib>
#include <random>
#include <unistd.h>

using namespace stand_in;

// The limits of the pages.
static constexpr double slack = 0.5;
static constexpr std::size_t mostStale = 20;
static constexpr std::size_t staleDivisor = 5;

// The loss as the site file has it: of three workers, two (a share of 0.6) lose 0.4 of their answers for 4 s.
static constexpr int workers = 3;
static constexpr int losingWorkers = 2;
static constexpr double lossShare = 0.4;
static constexpr double lossTime = 4.0;

static constexpr int clients = 100;
static constexpr double requestsPerSecond = 80.0;
static constexpr double workTime = 0.8;
static constexpr double warmUp = 5.0;
static constexpr double afterwards = 4.0;
static constexpr double startTimeout = 25.0;
static constexpr double clientPatience = 3.0;

namespace {

struct request_history {
    double firstAt = 0;
    double firstEnd = 0; /**< When the worker that got it first had to stop. */
    std::size_t arrivals = 0;
};

struct history {
    std::mutex lock;
    std::map<std::string, double> clientEnd; /**< When the client gives up, by request. */
    std::map<std::string, request_history> requests;
    std::size_t lateRepeats = 0; /**< Arrivals more than the slack after the first of their request. */
    std::size_t stale = 0; /**< Those of them that were given more time than is left. */
    std::size_t failures = 0;
};

} // namespace

static history seen;
static std::atomic<bool> losing = false;
static std::atomic<bool> asking = true;

static worker::outcome decide(record &out, int number, const message &request)
{
    static thread_local std::mt19937 random(std::random_device{}());
    const std::string id = request.header("x-carawayloft-request-id");
    const std::string given = request.header("x-carawayloft-deadline-ms");
    const double at = now();
    const double end = at + std::atof(given.c_str()) / 1'000.0;
    const std::lock_guard guard(seen.lock);
    request_history &known = seen.requests[id];
    if (++known.arrivals == 1) {
        known.firstAt = at;
        known.firstEnd = end;
    } else if (at > known.firstAt + slack) {
        ++seen.lateRepeats;
        const bool isStale = given.empty() || (end > known.firstEnd + slack && end > seen.clientEnd[id] + slack);
        seen.stale += isStale ? 1 : 0;
        out.line("again " + id + " after " + std::to_string(at - known.firstAt) + " s, given " + given + " ms, " + std::to_string(seen.clientEnd[id] - at)
                 + " s are left" + (isStale ? ": too much" : ""));
    }
    const bool loses = losing && number <= losingWorkers && std::bernoulli_distribution(lossShare)(random);
    return loses ? worker::outcome::LoseAnswer : worker::outcome::Answer;
}

/** One client: a kept connection to the front, and a request every so often. */
static void ask(const deployment &system, record &out, int client)
{
    static constexpr double period = clients / requestsPerSecond;
    std::unique_ptr<connection> to;
    double next = now() + period * client / clients;
    for (int number = 1; asking; ++number) {
        sleepUntil(next);
        next += period;
        const std::string id = "c" + std::to_string(client) + "r" + std::to_string(number);
        if (!to) {
            to = connection::open(system.frontIp(1), deployment::frontPort);
        }
        {
            const std::lock_guard guard(seen.lock);
            seen.clientEnd[id] = now() + clientPatience;
        }
        const std::optional<message> answer = to && to->send(clientRequest(id)) ? to->receive(clientPatience) : std::nullopt;
        out.line("sent " + id + ", answered " + (answer ? std::to_string(answer->status()) : std::string("nothing")));
        if (!answer) {
            to.reset();
        }
        if (!answer || answer->status() != 200) {
            const std::lock_guard guard(seen.lock);
            ++seen.failures;
        }
    }
}

static int judge(record &out)
{
    const std::lock_guard guard(seen.lock);
    const auto oftenRun = std::count_if(seen.requests.begin(), seen.requests.end(), [](const auto &each) { return each.second.arrivals > 2; });
    out.line(std::to_string(seen.clientEnd.size()) + " requests sent, " + std::to_string(seen.failures) + " not answered with success, "
             + std::to_string(oftenRun) + " sent to workers more than twice");
    out.line(std::to_string(seen.lateRepeats) + " sent once more over 0.5 s later, " + std::to_string(seen.stale) + " of them with more time than is left");
    if (seen.requests.empty()) {
        out.line("cannot run: no request has reached a worker");
        return couldNotRun;
    }
    return seen.stale > mostStale && seen.stale * staleDivisor > seen.lateRepeats ? ruleBroken : ruleHeld;
}

static int run(deployment &system, record &out)
{
    for (int number = 1; number <= deployment::replicas; ++number) {
        system.startReplica(number, true);
    }
    system.startFront(1);
    const auto isAccepted = [](const std::optional<message> &answer) { return answer && answer->status() / 100 == 2; };
    // The workers take 0.8 s for a request, so the objective is 2 s and the time limit 3 s.
    if (!await([&] { return isAccepted(system.callControl("PUT", "/-/config", configuration(1, 3'000, 2'000))); }, startTimeout)) {
        out.line("cannot run: the configuration is not confirmed");
        return couldNotRun;
    }
    for (int number = 1; number <= workers; ++number) {
        worker::start(system, out, number, workTime, [number, &out](const message &request) { return decide(out, number, request); });
    }
    if (!await([&] { return system.isReady(1); }, startTimeout)) {
        out.line("cannot run: the front is not ready");
        return couldNotRun;
    }
    sleepFor(2.0);
    for (int client = 0; client < clients; ++client) {
        std::thread([&system, &out, client] { ask(system, out, client); }).detach();
    }
    sleepFor(warmUp);
    if (hasTrouble()) {
        out.line("the workers begin to lose answers");
        losing = true;
        sleepFor(lossTime);
        losing = false;
        out.line("the workers lose no more answers");
    } else {
        sleepFor(lossTime);
    }
    sleepFor(afterwards);
    asking = false;
    sleepFor(1.5);
    return judge(out);
}

int main(int, char **words)
{
    auto &out = *new record(words[1] == nullptr ? "record.txt" : words[1]);
    auto &system = *new deployment(out);
    const int code = run(system, out);
    system.end();
    out.line(code == ruleBroken ? "BUDGET is broken" : (code == ruleHeld ? "BUDGET held" : "could not run"));
    _exit(code);
}

// A worker says that it leaves, which control confirms. Then all control processes are killed and are back within a second, and a check-in that the
// worker had sent before arrives late. The worker serves on for some seconds, as a leaving worker may, and must get nothing more.

#include "review/stand_in.h"

#include <algorithm>
#include <unistd.h>

using namespace stand_in;

// The limits of the pages.
static constexpr double drainTime = 2.0;
static constexpr double contactWindow = 3.0;

static constexpr double restartDelay = 0.6;
static constexpr double checkInDelay = 3.5;
static constexpr double servesOn = 10.5;
static constexpr double requestPeriod = 0.1;
static constexpr int clients = 2;
static constexpr double calmTime = 4.0;
static constexpr double startTimeout = 25.0;
static constexpr double clientPatience = 3.0;

namespace {

struct arrivals {
    std::mutex lock;
    std::vector<double> at;

    std::size_t after(double time)
    {
        const std::lock_guard guard(lock);
        return static_cast<std::size_t>(std::count_if(at.begin(), at.end(), [time](double each) { return each > time; }));
    }
};

} // namespace

static void noteArrival(arrivals &seen)
{
    const std::lock_guard guard(seen.lock);
    seen.at.push_back(now());
}

static void ask(deployment &system, record &out, int client)
{
    for (int number = 1;; ++number) {
        const std::string id = "c" + std::to_string(client) + "r" + std::to_string(number);
        const auto to = connection::open(system.frontIp(1), deployment::frontPort);
        const std::optional<message> answer = to && to->send(clientRequest(id)) ? to->receive(clientPatience) : std::nullopt;
        out.line("sent " + id + ", answered " + (answer ? std::to_string(answer->status()) : std::string("nothing")));
        sleepFor(requestPeriod);
    }
}

static int run(deployment &system, record &out)
{
    static arrivals leavingSeen;
    static arrivals stayingSeen;
    for (int number = 1; number <= deployment::replicas; ++number) {
        system.startReplica(number, true);
    }
    system.startFront(1);
    const auto isAccepted = [](const std::optional<message> &answer) { return answer && answer->status() / 100 == 2; };
    if (!await([&] { return isAccepted(system.callControl("PUT", "/-/config", configuration(1))); }, startTimeout)) {
        out.line("cannot run: the configuration is not confirmed");
        return couldNotRun;
    }
    worker &leaving = worker::start(system, out, 1, [](const message &) { noteArrival(leavingSeen); });
    worker::start(system, out, 2, [](const message &) { noteArrival(stayingSeen); });
    if (!await([&] { return system.isReady(1); }, startTimeout)) {
        out.line("cannot run: the front is not ready");
        return couldNotRun;
    }
    for (int client = 1; client <= clients; ++client) {
        std::thread([&system, &out, client] { ask(system, out, client); }).detach();
    }
    if (!await([&] { return leavingSeen.after(0.0) > 0 && stayingSeen.after(0.0) > 0; }, startTimeout)) {
        out.line("cannot run: the workers get no requests");
        return couldNotRun;
    }
    sleepFor(calmTime);

    leaving.stopCheckIns();
    const std::string lateCheckIn = leaving.nextCheckIn();
    if (!isAccepted(system.callControl("DELETE", "/-/instances/" + leaving.id(), {}))) {
        out.line("cannot run: the departure is not confirmed");
        return couldNotRun;
    }
    const double left = now();
    out.line("control has confirmed that " + leaving.id() + " leaves");
    double inTouchFrom = left;
    if (hasTrouble()) {
        sleepUntil(left + 0.2);
        for (int number = 1; number <= deployment::replicas; ++number) {
            system.killReplica(number);
        }
        sleepFor(restartDelay);
        for (int number = 1; number <= deployment::replicas; ++number) {
            system.startReplica(number, false);
        }
        inTouchFrom = now() + contactWindow;
    }
    sleepUntil(left + checkInDelay);
    const bool arrived = await([&] { return isAccepted(system.callControl("PUT", "/-/instances/" + leaving.id(), lateCheckIn)); }, 2.0);
    out.line(std::string("the late check-in is ") + (arrived ? "confirmed" : "not confirmed"));
    sleepUntil(left + servesOn);

    const double judgedFrom = std::max(left + drainTime, inTouchFrom);
    const std::size_t broken = leavingSeen.after(judgedFrom);
    const std::size_t served = stayingSeen.after(judgedFrom);
    out.line("judged from " + std::to_string(judgedFrom) + ": " + std::to_string(broken) + " requests reached the worker that left, " + std::to_string(served)
             + " the other one");
    if (served == 0) {
        out.line("cannot run: nothing was served after the disruption");
        return couldNotRun;
    }
    return broken > 0 ? ruleBroken : ruleHeld;
}

int main(int, char **words)
{
    auto &out = *new record(words[1] == nullptr ? "record.txt" : words[1]);
    auto &system = *new deployment(out);
    const int code = run(system, out);
    system.end();
    out.line(code == ruleBroken ? "DRAIN is broken" : (code == ruleHeld ? "DRAIN held" : "could not run"));
    _exit(code);
}

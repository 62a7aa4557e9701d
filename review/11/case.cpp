// A control replica is replaced as planned; a moment after the old one has gone, another one loses its disk.

#include "../stand-in-3/lab.h"

using namespace lab;

namespace {

constexpr int replaced = 1;
constexpr int wiped = 2;
constexpr int successor = 4;
constexpr auto successorTime = 6s; /**< That the successor has had before the old machine goes; catchUpS is 4. */
constexpr auto timeBeforeLoss = 1s;
constexpr auto timeWithoutDisk = 1s;
constexpr auto recoverTime = 12s; /**< bounds.recoverS. */
constexpr auto readingTime = 6s; /**< At least contactWindowMs, which is 3,000. */
constexpr int lastVersion = 2;

} // namespace

int main()
{
    deployment in;
    process &old = in.startReplica(replaced, true);
    process &second = in.startReplica(wiped, true);
    in.startReplica(3, true);
    in.startGateway();
    const std::string routes = route("records", "non_idempotent", 3'000);
    if (!in.putConfiguration(configuration(1, routes))) {
        return couldNotRun;
    }
    worker records(in, "i-1", 100, "records", [](int socket, const request &got) { return answerWith(socket, got, "recorded"); });
    int requests = 0;
    const auto call = [&] {
        const std::string id = "r-" + std::to_string(++requests);
        const connection to(in.ip(40), frontPort);
        const int status = to.isOpen() && to.send(clientRequest("POST", "/records/sign", id, "sign-off")) ? readAnswer(to).status : 0;
        record("request %s: %d", id.c_str(), status);
        return status == 200;
    };
    if (!records.isListening() || !await([&] { return in.isReady() && call(); })) {
        return couldNotRun;
    }
    in.startReplica(successor, false);
    record("core-%d, with an empty disk, is added beside core-%d", successor, replaced);
    std::this_thread::sleep_for(successorTime);
    old.signal(SIGTERM);
    if (!await([&] { return old.hasEnded(); }, 8s)) {
        return couldNotRun;
    }
    record("core-%d has ended after SIGTERM and does not come back", replaced);
    if (!in.putConfiguration(configuration(lastVersion, routes))) {
        return couldNotRun;
    }
    record("configuration %d is acknowledged", lastVersion);
    if (isTroubled()) {
        std::this_thread::sleep_for(timeBeforeLoss);
        second.signal(SIGKILL);
        await([&] { return second.hasEnded(); });
        in.wipeDisk(wiped);
        record("core-%d has lost its disk", wiped);
        std::this_thread::sleep_for(timeWithoutDisk);
        in.startReplica(wiped, false);
        record("core-%d is back at its address, with an empty disk", wiped);
    }
    std::this_thread::sleep_for(recoverTime);
    int reads = 0;
    int current = 0;
    int served = 0;
    int sent = 0;
    for (const auto end = steady::now() + readingTime; steady::now() < end; std::this_thread::sleep_for(500ms)) {
        const answer read = in.callControl("GET", "/-/config");
        record("GET /-/config: %d", read.status);
        ++reads;
        current += read.status == 200 && read.body.find("\"version\":" + std::to_string(lastVersion) + ",") != std::string::npos ? 1 : 0;
        ++sent;
        served += call() ? 1 : 0;
    }
    record("reads of the configuration: %d, with the newest acknowledged one: %d; requests: %d, served: %d", reads, current, sent, served);
    const bool isBroken = current == 0;
    record("CONFIG %s", isBroken ? "broken" : "held");
    return isBroken ? ruleBroken : ruleHeld;
}

#include "../kit_2.h"

#include <algorithm>
#include <array>

using namespace review;

/**
 * Another writer sends check-ins whose id holds bytes that cannot be read, once a heartbeat, as a worker would. The platform starts
 * processes that end again. TROUBLE=0: without the other writer.
 */
static constexpr int replicas = 3;
static constexpr milliseconds restartDelay{1'000};
static constexpr milliseconds heartbeat{1'200};
static constexpr milliseconds playTime{40'000};
static constexpr int endsOfFault = 3;

/** Two services as in the example of the pages: engines in groups of four and three, and a plain one. */
static const char *const routes = R"({"version":1,"routes":[
{"name":"r-1","host":"ledger.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,"sloMs":300,"priority":1,"service":"drafting-models",
"attempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":300},
{"name":"r-2","host":"ledger.example","pathPrefix":"/records/","kind":"idempotent","timeoutMs":3000,"sloMs":300,"priority":2,"service":"records",
"attempts":2,"public":false}],
"services":[{"name":"drafting-models","healthPath":"/healthz","maxConns":552,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":36.0,
"engine":{"slots":48,"kvTokens":1590000,"kvBytes":327680,"linkMbps":400000.0,"stride":6,"models":[
{"name":"m0","size":4,"share":0.57,"pace":1.0,"loadS":16.0,"warmS":1.6},{"name":"m1","size":3,"share":0.43,"pace":0.6,"loadS":12.0,"warmS":1.1}],
"step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,"read_per_s":50700.0,"pairs_per_m":0.368,"chunk":2048,"report_lag_ms":200.0,
"loadsPerS":3.0,"loads_at_once":6,"usual":{"prompt":1038,"answer":167},"keeps":1,"far_x":4.0,"formMs":300.0}},
{"name":"records","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"firm","apiKeys":["key-1"],"priority":1}]})";

int main(int, char **arguments)
{
    record log(arguments[1]);
    deployment system(replicas, 1, 260);
    worker server(
        system, "records", 0, [](channel &caller, const message &request) { return caller.send(worker::head(request, 200, "Content-Length: 2\r\n") + "ok"); });
    if (!system.configure(routes)) {
        log.add("the system did not come up");
        return 2;
    }
    pause(milliseconds(3'500)); // The machines have been in touch for contactWindowMs.
    const milliseconds end = elapsed() + playTime;
    std::atomic<int> asked = 0;
    std::atomic<int> served = 0;
    std::thread client([&] {
        while (elapsed() < end) {
            const std::string id = "r-" + std::to_string(++asked);
            channel to = channel::connect(system.front(0), milliseconds(1'000));
            to.send(requestHead("GET", "/records/" + id, id, 3'000, "Connection: close\r\n"));
            const message answer = to.readMessage(milliseconds(3'500), true);
            served += answer.status() == 200 ? 1 : 0;
            log.add("client " + id + " got '" + answer.start + "'");
            pause(milliseconds(200));
        }
    });
    std::thread writer([&] {
        for (int sequence = 1; !isCalm() && elapsed() < end; ++sequence) {
            const milliseconds next = elapsed() + heartbeat;
            const std::string body = "{\"service\":\"drafting-models\",\"address\":\"" + system.host(150)
                                     + ":8080\",\"zone\":\"mid-a\",\"domain\":\"d0\",\"version\":\"v1\",\"slots\":48,\"state\":\"ready\",\"coldLeftMs\":0,"
                                       "\"stage\":\"both\",\"models\":[],\"staged\":[],\"sequence\":"
                                     + std::to_string(sequence) + ",\"born\":1796000000000}";
            const int status = system.order("PUT", "/-/instances/i-7f3a\xff\xfe", body, milliseconds(900));
            log.add("another writer sent check-in " + std::to_string(sequence) + ", bytes of its id cannot be read; status " + std::to_string(status));
            while (elapsed() < std::min(next, end)) {
                pause(milliseconds(10));
            }
        }
    });
    std::array<int, replicas> ends{};
    std::array<milliseconds, replicas> endedAt{};
    while (elapsed() < end) {
        for (int i = 0; i < replicas; ++i) {
            if (system.replica(i).isRunning()) {
                continue;
            }
            if (endedAt[i] == milliseconds(0)) {
                endedAt[i] = elapsed();
                ++ends[i];
                log.add("control replica " + std::to_string(i) + " has ended by itself, " + std::to_string(ends[i]) + " times by now");
            } else if (elapsed() >= endedAt[i] + restartDelay) {
                endedAt[i] = milliseconds(0);
                system.revive(i);
            }
        }
        pause(milliseconds(20));
    }
    client.join();
    writer.join();
    const auto faulty = std::count_if(ends.begin(), ends.end(), [](int each) { return each >= endsOfFault; });
    log.add("machines of the core whose process ended by itself three times: " + std::to_string(faulty) + " of " + std::to_string(replicas) + "; "
            + std::to_string(served) + " of " + std::to_string(asked) + " requests to another service were served");
    return 2 * faulty >= replicas ? 1 : served == 0 ? 2 : 0;
}

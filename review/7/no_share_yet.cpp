#include "../kit_2.h"

#include <algorithm>
#include <array>

using namespace review;

/**
 * A change of the configuration adds a service whose one model has no share of the work at the start, and two workers of it come.
 * The platform starts processes that end again. TROUBLE=0: the same change, where the model's share is 1.
 */
static constexpr int replicas = 3;
static constexpr int newWorkers = 2;
static constexpr milliseconds restartDelay{1'000};
static constexpr milliseconds playTime{40'000};
static constexpr int endsOfFault = 3;
static constexpr milliseconds loadTime{16'000};

static std::string engine(const std::string &models)
{
    return R"({"slots":48,"kvTokens":1590000,"kvBytes":327680,"linkMbps":400000.0,"stride":6,"models":[)" + models
           + R"(],"step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,"read_per_s":50700.0,"pairs_per_m":0.368,"chunk":2048,)"
             R"("report_lag_ms":200.0,"loadsPerS":3.0,"loads_at_once":6,"usual":{"prompt":1038,"answer":167},"keeps":1,"far_x":4.0,"formMs":300.0})";
}

static std::string routes(int version, const std::string &targets, const std::string &moreServices)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"r-1","host":"ledger.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,"sloMs":300,"priority":1,"backends":)"
           + targets
           + R"(,"attempts":2,"public":false,"sticky":true,"resumable":true,"gapAimMs":300},)"
             R"({"name":"r-2","host":"ledger.example","pathPrefix":"/records/","kind":"idempotent","timeoutMs":3000,"sloMs":300,"priority":2,)"
             R"("service":"records","attempts":2,"public":false}],"services":[)"
             R"({"name":"drafting-models","healthPath":"/healthz","maxConns":552,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":36.0,"engine":)"
           + engine(R"({"name":"m0","size":4,"share":0.57,"pace":1.0,"loadS":16.0,"warmS":1.6},)"
                    R"({"name":"m1","size":3,"share":0.43,"pace":0.6,"loadS":12.0,"warmS":1.1})")
           + R"(},{"name":"records","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false,"coldStartS":0.0,"coldPerS":0.0})" + moreServices
           + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
             R"("tenants":[{"name":"firm","apiKeys":["key-1"],"priority":1}]})";
}

/** What a worker with an engine says of itself. */
static std::string engineFields(bool hasLoaded, const std::string &group)
{
    return std::string(R"(,"domain":"d0","stage":"both")")
           + (hasLoaded ? R"(,"models":[{"name":"m2","version":1,"adapters":[]}],"staged":["m2"])" : R"(,"models":[],"staged":[])") + group;
}

static std::string numberBehind(const std::string &text, const std::string &name)
{
    const std::size_t at = text.find("\"" + name + "\":");
    return at == std::string::npos ? std::string() : std::to_string(std::strtoull(text.c_str() + at + name.size() + 3, nullptr, 10));
}

int main(int, char **arguments)
{
    record log(arguments[1]);
    deployment system(replicas, 1, 260);
    worker server(
        system, "records", 0, [](channel &caller, const message &request) { return caller.send(worker::head(request, 200, "Content-Length: 2\r\n") + "ok"); });
    if (!system.configure(routes(1, R"([{"service":"drafting-models","weight":1}])", {}))) {
        log.add("the system did not come up");
        return 2;
    }
    pause(milliseconds(3'500)); // The machines have been in touch for contactWindowMs.
    const std::string share = isCalm() ? "1.0" : "0.0";
    const int status = system.order(
        "PUT",
        "/-/config",
        routes(2,
               R"([{"service":"drafting-models","weight":100},{"service":"drafting-next","weight":0}])",
               R"(,{"name":"drafting-next","healthPath":"/healthz","maxConns":552,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":36.0,"engine":)"
                   + engine(R"({"name":"m2","size":3,"share":)" + share + R"(,"pace":1.0,"loadS":16.0,"warmS":1.6})") + "}"),
        milliseconds(4'000));
    log.add("operator: configuration 2, with a service whose model has the share " + share + ", got " + std::to_string(status));
    std::vector<std::unique_ptr<worker>> added(newWorkers);
    std::mutex lock;
    std::vector<std::thread> loads;
    for (int i = 0; i < newWorkers; ++i) {
        const auto answer = [&, i](channel &caller, const message &request) {
            if (request.start.starts_with("POST /-/order") && request.body.find("\"join\"") != std::string::npos) {
                const std::string epoch = numberBehind(request.body, "epoch");
                const std::string group = R"(,"group":{"name":"g)" + epoch + R"(","epoch":)" + epoch + R"(,"rank":0,"state":")";
                log.add("worker " + std::to_string(i) + " of drafting-next is ordered: " + request.body);
                added[i]->setFields(engineFields(false, group + R"(joining"})"));
                const std::lock_guard held(lock);
                loads.emplace_back([&, i, group] {
                    pause(loadTime);
                    added[i]->setFields(engineFields(true, group + R"(ready"})"));
                });
                return caller.send("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
            }
            return caller.send("HTTP/1.1 200 OK\r\nX-Carawayloft-Instance-Id: " + added[i]->id() + "\r\nContent-Length: 0\r\n\r\n");
        };
        added[i] = std::make_unique<worker>(system, "drafting-next", 1 + i, answer, engineFields(false, {}));
    }
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
    for (std::thread &each : loads) {
        each.join();
    }
    const auto faulty = std::count_if(ends.begin(), ends.end(), [](int each) { return each >= endsOfFault; });
    log.add("machines of the core whose process ended by itself three times: " + std::to_string(faulty) + " of " + std::to_string(replicas) + "; "
            + std::to_string(served) + " of " + std::to_string(asked) + " requests to another service were served");
    return status == 200 && 2 * faulty >= replicas ? 1 : status != 200 || served == 0 ? 2 : 0;
}

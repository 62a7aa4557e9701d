// Slopes behind docs/CAPACITY.md: the cost of each role's work by size, with fit and residual (RMS).

#include "codec/flat_codec.h"
#include "codec/frame_codec.h"

#include <carawayloft/backend/answer_relay.h>
#include <carawayloft/backend/group_leases.h>
#include <carawayloft/control/publisher.h>
#include <carawayloft/placement/placer.h>
#include <carawayloft/request/request_pipe.h>

#include <benchmark/benchmark.h>

#include <malloc.h>

using namespace carawayloft;

static const service_id model("model");
static const time_point start(std::chrono::hours(1));

static constexpr std::uint32_t hostsPerGroup = 32;
static constexpr std::uint64_t hostsPerFabricDomain = 64;

static host_record makeHost(std::uint64_t i)
{
    host_record host;
    host.host = host_id("host-" + std::to_string(i));
    host.zone = availability_zone_id("zone-" + std::to_string(i / hostsPerGroup % 11));
    host.fabricDomain = fabric_domain_id("fabric-" + std::to_string(i / hostsPerFabricDomain));
    host.service = model;
    host.agent = endpoint("10.0.0.1:" + std::to_string(i));
    host.agentIncarnation = incarnation(i);
    return host;
}

/** A fleet of @p groups whole groups and @p spare free hosts. */
static fleet_state makeFleet(std::uint64_t groups, std::uint64_t spare = 0)
{
    fleet_state fleet;
    std::uint64_t at = 0;
    const auto apply = [&](fleet_change change) { (void)fleet.apply({{}, "bench", {}, std::move(change)}, revision(++at)); };
    apply(put_service{{model, service_kind::Model, hostsPerGroup, {}}});
    for (std::uint64_t i = 0; i < groups * hostsPerGroup + spare; ++i) {
        apply(put_host{makeHost(i)});
    }
    for (std::uint64_t group = 0; group < groups; ++group) {
        std::vector<host_id> hosts;
        for (std::uint64_t i = 0; i < hostsPerGroup; ++i) {
            hosts.push_back(makeHost(group * hostsPerGroup + i).host);
        }
        apply(create_group{model, hosts});
    }
    return fleet;
}

/** Control: one renewal of a lead, by the number of groups. */
static void controlRenewal(benchmark::State &state)
{
    const auto groups = static_cast<std::uint64_t>(state.range(0));
    const fleet_state fleet = makeFleet(groups);
    lease_registry leases;
    leases.step(leadership_acquired{}, start);
    std::uint64_t turn = 0;
    for (auto _ : state) {
        const auto &group = std::next(fleet.groups().begin(), static_cast<std::ptrdiff_t>(turn++ % std::min<std::uint64_t>(groups, 8)))->second;
        lease_renewal renewal;
        renewal.host = group.hosts.front();
        renewal.group = group.group;
        renewal.epoch = group.epoch;
        benchmark::DoNotOptimize(leases.step(renewal_received{renewal, fleet, true}, start));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(controlRenewal)->Arg(20)->Arg(83)->Arg(166)->Arg(664)->Arg(1660)->Complexity(benchmark::oLogN);

/** Control: one change pushed to its subscribers and their confirmations, by the number of subscribers. */
static void controlPublish(benchmark::State &state)
{
    fleet_state fleet = makeFleet(4);
    publisher publisher;
    for (std::int64_t i = 1; i <= state.range(0); ++i) {
        publisher.step(subscriber_joined{link_id(static_cast<std::uint64_t>(i)), fleet.at(), fleet}, start);
    }
    std::uint64_t at = fleet.at().value();
    std::size_t bytes = 0;
    for (auto _ : state) {
        const fleet_command command{command_id("c"), "tariq", {}, put_zone{{availability_zone_id("zone-1"), zone_state::Serving}}};
        bytes = 0;
        for (const publisher_output &each : publisher.step(change_committed{publish_change{revision(at), revision(at + 1), command}}, start)) {
            bytes += encodeFrame(std::get<publish_change>(std::get<send_publication>(each).message)).size();
        }
        ++at;
        for (std::int64_t i = 1; i <= state.range(0); ++i) {
            publisher.step(subscriber_confirmed{link_id(static_cast<std::uint64_t>(i)), revision(at)}, start);
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.SetComplexityN(state.range(0));
}
BENCHMARK(controlPublish)->Arg(100)->Arg(390)->Arg(1'000)->Arg(2'845)->Arg(5'690)->Unit(benchmark::kMicrosecond)->Complexity();

/** Every process: the first publication, by the number of hosts. */
static void snapshotDecode(benchmark::State &state)
{
    const fleet_state fleet = makeFleet(static_cast<std::uint64_t>(state.range(0)) / hostsPerGroup);
    const std::vector<std::uint8_t> frame = encodeFrame(publish_snapshot{fleet.snapshot()});
    const std::vector<std::uint8_t> body(frame.begin() + frameHeaderBytes, frame.end());
    for (auto _ : state) {
        const auto message = decodeFrameBody(body);
        fleet_state copy;
        copy.restore(std::get<publish_snapshot>(valueOf(message)).fleet);
        benchmark::DoNotOptimize(copy.at());
    }
    const std::size_t before = mallinfo2().uordblks;
    const auto copy = std::make_unique<fleet_state>(fleet);
    benchmark::DoNotOptimize(copy->at());
    state.counters["frame_bytes"] = static_cast<double>(frame.size());
    state.counters["memory_bytes"] = static_cast<double>(mallinfo2().uordblks - before);
    state.SetComplexityN(state.range(0));
}
BENCHMARK(snapshotDecode)->Arg(320)->Arg(1'312)->Arg(2'656)->Arg(5'312)->Arg(10'624)->Unit(benchmark::kMillisecond)->Complexity(benchmark::oN);

/** Every process: one published change, by the number of hosts. */
static void changeApply(benchmark::State &state)
{
    fleet_state fleet = makeFleet(static_cast<std::uint64_t>(state.range(0)) / hostsPerGroup);
    std::uint64_t at = fleet.at().value();
    for (auto _ : state) {
        benchmark::DoNotOptimize(fleet.apply({{}, "bench", {}, put_host{makeHost(1)}}, revision(++at)));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(changeApply)->Arg(320)->Arg(1'312)->Arg(2'656)->Arg(5'312)->Complexity(benchmark::oLogN);

/** Entry: a change of the configuration taken over into the routing table, by the number of groups. */
static void entryConfigChange(benchmark::State &state)
{
    request_pipe pipe({availability_zone_id("zone-1")});
    fleet_state fleet = makeFleet(static_cast<std::uint64_t>(state.range(0)));
    pipe.step(control_message{publish_snapshot{fleet.snapshot()}}, start);
    std::uint64_t at = fleet.at().value();
    for (auto _ : state) {
        const fleet_command command{{}, "bench", {}, put_host{makeHost(1)}};
        benchmark::DoNotOptimize(pipe.step(control_message{publish_change{revision(at), revision(at + 1), command}}, start));
        ++at;
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(entryConfigChange)->Arg(20)->Arg(83)->Arg(166)->Arg(332)->Unit(benchmark::kMicrosecond)->Complexity(benchmark::oN);

/** Entry: one routing decision, by the number of groups. */
static void entryRoute(benchmark::State &state)
{
    router router(availability_zone_id("zone-1"), expected_wait_policy{}, 1);
    groups_changed groups;
    for (std::int64_t i = 1; i <= state.range(0); ++i) {
        const group_id id(static_cast<std::uint64_t>(i));
        groups.groups.push_back({id, group_epoch(1), model, availability_zone_id("zone-" + std::to_string(i % 11)), endpoint("10.0.0.1:1"), 16});
    }
    router.step(groups, start);
    for (const routable_group &each : groups.groups) {
        router.step(load_reported{{each.group, each.epoch, true, false, 1, 0, 1'000'000, 0, 0}}, start);
    }
    std::uint64_t id = 0;
    for (auto _ : state) {
        for (const router_output &each : router.step(route_requested{request_id(++id), model, 0, {}}, start)) {
            if (const auto *chosen = std::get_if<route_chosen>(&each)) {
                router.step(attempt_ended{chosen->group.group, attempt_result::Answered, duration(100), duration(1'000)}, start);
            }
        }
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(entryRoute)->Arg(20)->Arg(83)->Arg(166)->Arg(332)->Arg(664)->Unit(benchmark::kMicrosecond)->Complexity(benchmark::oN);

/** Entry: memory of one request in flight, by the number of them. */
static void entryFlowMemory(benchmark::State &state)
{
    fleet_state fleet = makeFleet(1);
    fleet_snapshot snapshot = fleet.snapshot();
    snapshot.accounts = {{client_account_id("a"), "digest", 1, 1'000'000}};
    double perFlow = 0;
    for (auto _ : state) {
        request_pipe pipe({availability_zone_id("zone-1"), expected_wait_policy{}, 1, duration(120'000), 100'000});
        pipe.step(control_message{publish_snapshot{snapshot}}, start);
        const endpoint lead = fleet.hosts().begin()->second.agent;
        for (const auto &[id, host] : fleet.hosts()) {
            pipe.step(agent_connected{host.agent}, start);
        }
        const group_record &group = fleet.groups().begin()->second;
        pipe.step(agent_message{lead, load_report{group.group, group.epoch, true, false, 0, 0, 10'000'000, 0, 0}}, start);
        const std::size_t before = mallinfo2().uordblks;
        for (std::int64_t i = 1; i <= state.range(0); ++i) {
            caller_request request;
            request.request = request_id(static_cast<std::uint64_t>(i));
            request.keyDigest = "digest";
            request.service = model;
            request.kind = service_kind::Model;
            request.body = std::string(1'000, 'x');
            benchmark::DoNotOptimize(pipe.step(request, start));
        }
        perFlow = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(pipe.inFlight());
    }
    state.counters["bytes_per_flow"] = perFlow;
    state.SetComplexityN(state.range(0));
}
BENCHMARK(entryFlowMemory)->Arg(100)->Arg(1'000)->Arg(5'000)->Arg(20'000)->Iterations(3)->Unit(benchmark::kMillisecond)->Complexity(benchmark::oN);

/** Lead agent: one round of leases with every member, by the number of members. */
static void leadLeaseRound(benchmark::State &state)
{
    group_leases lead(host_id("lead"));
    led_group led{group_id(1), group_epoch(1), {}};
    for (std::int64_t i = 1; i < state.range(0); ++i) {
        led.others.push_back(makeHost(static_cast<std::uint64_t>(i)).host);
    }
    lead.step(led, start);
    time_point now = start;
    std::size_t bytes = 0;
    for (auto _ : state) {
        now += duration(250);
        bytes = 0;
        for (const group_leases_output &each : lead.step(lease_tick{}, now)) {
            if (const auto *ask = std::get_if<request_member_lease>(&each)) {
                const member_lease_grant grant{led.group, led.epoch, ask->member, ask->request.round, duration(900)};
                bytes += encodeFrame(ask->request).size() + encodeFrame(grant).size();
                lead.step(grant, now);
            }
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes);
    state.SetComplexityN(state.range(0));
}
BENCHMARK(leadLeaseRound)->Arg(4)->Arg(8)->Arg(16)->Arg(32)->Arg(64)->Unit(benchmark::kMicrosecond)->Complexity(benchmark::oN);

/** Lead agent and entry: one token on its way, by the number of tokens. */
static void tokenRelay(benchmark::State &state)
{
    const std::string event = "data: {\"id\":\"chatcmpl-1\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"},\"finish_reason\":null}]}\n\n";
    std::size_t bytes = 0;
    for (auto _ : state) {
        dispatch_request request;
        request.stream = true;
        request.credit = 1'000'000;
        answer_relay relay(request, {});
        stream_assembler assembler;
        assembler.step(attempt_started{attempt_number()}, start);
        relay.step(answer_started{200, {}}, start);
        assembler.step(answer_head{{}, {}, 200, {}}, start);
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            for (const relay_output &each : relay.step(answer_bytes_received{event}, start)) {
                if (const auto *frame = std::get_if<relay_frame>(&each)) {
                    const std::vector<std::uint8_t> wire = encodeFrame(std::get<answer_chunk>(frame->frame));
                    bytes = wire.size();
                    const auto message = decodeFrameBody({wire.begin() + frameHeaderBytes, wire.end()});
                    benchmark::DoNotOptimize(assembler.step(std::get<answer_chunk>(valueOf(message)), start));
                }
            }
        }
    }
    state.counters["frame_bytes"] = static_cast<double>(bytes);
    state.SetComplexityN(state.range(0));
}
BENCHMARK(tokenRelay)->Arg(100)->Arg(400)->Arg(1'600)->Arg(6'400)->Unit(benchmark::kMicrosecond)->Complexity(benchmark::oN);

/** Control: one look of the placer at a whole fleet, by the number of groups of 32 hosts. */
static void placerStep(benchmark::State &state)
{
    const fleet_state fleet = makeFleet(static_cast<std::uint64_t>(state.range(0)), 40);
    lease_registry leases;
    leases.step(leadership_acquired{}, start);
    const time_point now = start + std::chrono::seconds(10);
    for (const auto &[id, group] : fleet.groups()) {
        lease_renewal renewal;
        renewal.host = group.hosts.front();
        renewal.group = group.group;
        renewal.epoch = group.epoch;
        renewal.backendUp = true;
        leases.step(renewal_received{renewal, fleet, true}, now);
    }
    placer placer({duration(5'000), duration(3'000), 4});
    for (auto _ : state) {
        benchmark::DoNotOptimize(placer.step({fleet, leases}, now));
    }
    state.SetComplexityN(state.range(0));
}
BENCHMARK(placerStep)->Arg(20)->Arg(83)->Arg(166)->Arg(664)->Arg(1'660)->Unit(benchmark::kMillisecond)->Complexity();

BENCHMARK_MAIN();

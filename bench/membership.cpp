#include "heap.hpp"

#include <jasminelatch/membership/fleet.hpp>
#include <jasminelatch/wire/codec.hpp>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

namespace jl = jasminelatch;
namespace membership = jasminelatch::membership;

constexpr std::int64_t nodesOfService = 9;
constexpr std::int64_t domainCount = 9;
constexpr std::int64_t cellSize = 24;
constexpr std::uint64_t largeNumber = 0x7f3a91c2d4e5b6a7;

auto nodeAddress(const std::int64_t number) -> jl::NodeAddress
{
    return jl::NodeAddress{"10." + std::to_string(number / 65536) + '.' + std::to_string(number / 256 % 256) + '.'
                           + std::to_string(number % 256) + ":7000"};
}

auto endpoint(const std::int64_t number) -> membership::Endpoint
{
    return {nodeAddress(number),
            jl::ServiceName{"service-" + std::to_string(number / nodesOfService)},
            jl::FailureDomain{"domain-" + std::to_string(number % domainCount)},
            100,
            700,
            membership::EndpointState::Ready};
}

auto endpoints(const std::int64_t count) -> std::vector<membership::Endpoint>
{
    std::vector<membership::Endpoint> result;
    for (std::int64_t i = 0; i < count; ++i) {
        result.push_back(endpoint(i));
    }
    return result;
}

auto cellOf(const std::int64_t first, const std::int64_t members, const std::uint64_t incarnation)
    -> membership::FleetCell
{
    membership::FleetCell cell;
    for (std::int64_t i = first; i < first + members; ++i) {
        cell.members.push_back({endpoint(i), incarnation, 1, {}});
    }
    return cell;
}

auto wireBytes(membership::Message message) -> double
{
    return static_cast<double>(jl::wire::encode(jl::wire::Message{std::move(message)}).size());
}

/*! @brief Attachment of about the length that configuration puts on heartbeats. */
auto attachment() -> std::string
{
    return R"({"age":123456,"revision":1234567,"store":1})";
}

auto heartbeat(benchmark::State &state) -> void
{
    const membership::Heartbeat beat{largeNumber, 100'000, largeNumber, largeNumber, attachment(), std::nullopt};
    const membership::HeartbeatAnswer answer{largeNumber, 100'000, false, attachment(), {}};
    const jl::wire::Message message = membership::Message{beat};
    for (auto round : state) {
        const auto bytes = jl::wire::encode(message);
        auto decoded = jl::wire::decode(bytes);
        benchmark::DoNotOptimize(decoded);
    }
    auto withReport = beat;
    withReport.report = membership::Report{jl::LeaseName{"cell/domain-1/34"}, 1, endpoint(1), {}, {}, 1, 1};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        withReport.report->services.push_back({jl::ServiceName{"service-" + std::to_string(i)}, largeNumber});
    }
    state.counters["heartbeat_bytes"] = wireBytes(beat);
    state.counters["answer_bytes"] = wireBytes(answer);
    state.counters["report_bytes"] = wireBytes(withReport);
}

auto servicePush(benchmark::State &state) -> void
{
    membership::Push push{largeNumber, 100'000, attachment(), {}};
    push.changes.services.push_back({jl::ServiceName{"service-1"}, largeNumber, endpoints(state.range(0))});
    const jl::wire::Message message = membership::Message{push};
    for (auto round : state) {
        benchmark::DoNotOptimize(jl::wire::encode(message).size());
    }
    state.counters["push_bytes"] = wireBytes(push);
}

auto directoryPush(benchmark::State &state) -> void
{
    membership::Push push{largeNumber, 100'000, attachment(), {}};
    push.changes.directory = membership::Directory{largeNumber, {}};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        push.changes.directory->rights.push_back({jl::LeaseName{"quota/1/" + std::to_string(i)}, nodeAddress(i)});
    }
    const jl::wire::Message message = membership::Message{push};
    for (auto round : state) {
        benchmark::DoNotOptimize(jl::wire::encode(message).size());
    }
    state.counters["push_bytes"] = wireBytes(push);
}

auto cellRecord(benchmark::State &state) -> void
{
    const auto cell = cellOf(0, state.range(0), largeNumber);
    const membership::CellRecord record{nodeAddress(0), largeNumber, 1000, cell.members};
    membership::Push push{largeNumber, 100'000, attachment(), {}};
    push.changes.assignment = membership::Assignment{largeNumber, {}, 7400, {}};
    for (const auto &member : cell.members) {
        push.changes.assignment->peers.push_back(member.endpoint.node);
    }
    std::size_t bytes{};
    for (auto round : state) {
        const auto text = nlohmann::json(record).dump();
        bytes = text.size();
        benchmark::DoNotOptimize(membership::parseCellRecord(text));
    }
    state.counters["record_bytes"] = static_cast<double>(bytes);
    state.counters["assignment_push_bytes"] = wireBytes(push);
}

/*! @brief One cell's record changes, and the holder of another cell brings its view of the fleet up to date. */
auto refreshFleet(benchmark::State &state) -> void
{
    const auto nodes = state.range(0);
    const auto cells = (nodes + cellSize - 1) / cellSize;
    const auto before = jasminelatch::bench::heapBytes();
    membership::Fleet fleet;
    for (std::int64_t cell = 0; cell < cells; ++cell) {
        const auto first = cell * cellSize;
        fleet.setCell(membership::cellRight(jl::FailureDomain{"domain"}, static_cast<std::size_t>(cell)),
                      cellOf(first, std::min(cellSize, nodes - first), 1));
    }
    benchmark::DoNotOptimize(fleet.refresh());
    const auto heap = jasminelatch::bench::heapBytes() - before;
    std::uint64_t incarnation{1};
    for (auto round : state) {
        fleet.setCell(membership::cellRight(jl::FailureDomain{"domain"}, 0),
                      cellOf(0, std::min(cellSize, nodes), ++incarnation));
        benchmark::DoNotOptimize(fleet.refresh());
    }
    state.counters["heap_bytes_per_node"] = heap / static_cast<double>(nodes);
}

BENCHMARK(heartbeat)->ArgName("services")->Arg(0)->Arg(4)->Arg(14)->Arg(40);
BENCHMARK(servicePush)->ArgName("endpoints")->Arg(3)->Arg(10)->Arg(40)->Arg(160);
BENCHMARK(directoryPush)->ArgName("rights")->Arg(8)->Arg(64)->Arg(320)->Arg(1000);
BENCHMARK(cellRecord)->ArgName("members")->Arg(12)->Arg(24)->Arg(32)->Arg(40)->Unit(benchmark::kMicrosecond);
BENCHMARK(refreshFleet)
    ->ArgName("nodes")
    ->Arg(100)
    ->Arg(400)
    ->Arg(1600)
    ->Arg(3700)
    ->Arg(7400)
    ->Unit(benchmark::kMicrosecond);

} // namespace

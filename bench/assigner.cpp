#include <jasminelatch/membership/assigner.hpp>
#include <jasminelatch/membership/fleet.hpp>

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

namespace {

namespace jl = jasminelatch;
namespace membership = jasminelatch::membership;

constexpr std::int64_t domainCount = 9;
constexpr std::int64_t cellSize = 24;

auto member(const std::int64_t number, const std::uint64_t incarnation) -> membership::MemberRecord
{
    membership::MemberRecord record;
    record.endpoint.node =
        jl::NodeAddress{"10.0." + std::to_string(number / 256) + '.' + std::to_string(number % 256) + ":7000"};
    record.endpoint.service = jl::ServiceName{"service-" + std::to_string(number / 9)};
    record.endpoint.domain = jl::FailureDomain{"domain-" + std::to_string(number / cellSize % domainCount)};
    record.incarnation = incarnation;
    return record;
}

auto cellOf(const std::int64_t cell, const std::uint64_t incarnation) -> membership::FleetCell
{
    membership::FleetCell value;
    for (auto number = cell * cellSize; number < (cell + 1) * cellSize; ++number) {
        value.members.push_back(member(number, incarnation));
    }
    return value;
}

auto cellName(const std::int64_t cell) -> jl::LeaseName
{
    return membership::cellRight(jl::FailureDomain{"domain"}, static_cast<std::size_t>(cell));
}

auto rightNames(const std::int64_t count) -> std::vector<jl::LeaseName>
{
    std::vector<jl::LeaseName> rights;
    for (std::int64_t i = 0; i < count; ++i) {
        rights.emplace_back("quota/0/" + std::to_string(i));
    }
    return rights;
}

/*! @brief One round is one assignment of all rights; the fleet changes before it when the third argument says so. */
auto assignDuties(benchmark::State &state) -> void
{
    const auto cells = state.range(0) / cellSize;
    const auto changes = state.range(2) != 0;
    membership::Fleet fleet;
    for (std::int64_t cell = 0; cell < cells; ++cell) {
        fleet.setCell(cellName(cell), cellOf(cell, 1));
    }
    benchmark::DoNotOptimize(fleet.refresh());
    jl::Clock clock;
    clock.pause();
    jl::Counters counters;
    membership::internal::Context context;
    context.self = member(0, 1).endpoint.node;
    context.clock = &clock;
    context.counters = &counters;
    context.hooks.wantedRights = [rights = rightNames(state.range(1))] {
        return rights;
    };
    membership::internal::Assigner assigner{context};
    assigner.tick(fleet);
    std::uint64_t incarnation{1};
    for (auto round : state) {
        if (changes) {
            state.PauseTiming();
            fleet.setCell(cellName(0), cellOf(0, ++incarnation));
            benchmark::DoNotOptimize(fleet.refresh());
            state.ResumeTiming();
        }
        clock.advance(context.settings.dutyInterval);
        assigner.tick(fleet);
    }
}

BENCHMARK(assignDuties)
    ->ArgNames({"nodes", "rights", "changes"})
    ->ArgsProduct({{96, 384, 1536, 3696, 7392}, {16, 64, 256}, {0}})
    ->Args({7392, 64, 1})
    ->Args({7392, 256, 1})
    ->Unit(benchmark::kMicrosecond);

} // namespace

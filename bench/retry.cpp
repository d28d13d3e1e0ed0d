#include "heap.hpp"

#include <jasminelatch/retry/ledger.hpp>

#include <benchmark/benchmark.h>

#include <string>

namespace {

namespace jl = jasminelatch;

auto ledgerRequest(benchmark::State &state) -> void
{
    const auto open = state.range(0);
    jl::Clock clock;
    clock.pause();
    jl::Counters counters;
    jl::retry::Ledger ledger{clock, counters, {[](const jl::NodeAddress &, jl::retry::Message) {
                             }}};
    const auto id = [](const std::int64_t number) {
        return jl::RequestId{"0123456789abcdef-" + std::to_string(number)};
    };
    const auto spacing = jl::Duration{std::chrono::seconds{2}} / open;
    const auto before = jasminelatch::bench::heapBytes();
    std::int64_t number{};
    for (; number < open; ++number) {
        ledger.open(id(number), 3, std::chrono::seconds{2});
        clock.advance(spacing);
    }
    const auto perRequest = (jasminelatch::bench::heapBytes() - before) / static_cast<double>(open);
    for (auto round : state) {
        ledger.open(id(number), 3, std::chrono::seconds{2});
        benchmark::DoNotOptimize(ledger.decide({{1, static_cast<std::uint64_t>(number)}, id(number), {}}));
        ledger.close(id(number));
        ++number;
        clock.advance(spacing);
        ledger.tick();
    }
    state.counters["bytes_per_request"] = perRequest;
}

BENCHMARK(ledgerRequest)->ArgName("open")->Arg(100)->Arg(1000)->Arg(10000)->Arg(100000);

} // namespace

#include "deterministic_store.hpp"
#include "heap.hpp"

#include <jasminelatch/order/claim_holder.hpp>
#include <jasminelatch/wire/codec.hpp>

#include <benchmark/benchmark.h>

#include <string>

namespace {

namespace jl = jasminelatch;
namespace order = jasminelatch::order;

constexpr jl::Duration tickInterval = std::chrono::milliseconds{10};
constexpr int ticksOfSecond = 100;

/*! @brief Holder of one shard with a store that answers within a tick; every claim is answered at once. */
class Shard
{
public:
    Shard()
        : store_{clock_}
        , holder_{{}, jl::NodeAddress{"10.0.0.1:7000"}, 1, clock_, counters_, hooks()}
    {
        clock_.pause();
        holder_.acquired(0, {1, jl::lease::AcquisitionKind::Fresh});
        tick();
        tick();
    }

    auto claim() -> void
    {
        const auto number = std::to_string(++number_);
        order::ClaimRequest request;
        request.account = jl::AccountName{"account-" + std::to_string(number_ % 100)};
        request.idempotencyKey = "order-" + number;
        request.requestId = jl::RequestId{"request-" + number};
        request.bodyHash = "body-" + number;
        holder_.receive(entry_, request);
    }

    auto tick() -> void
    {
        clock_.advance(tickInterval);
        holder_.tick();
        store_.answerAll();
    }

    /*! @brief Runs one second with some new claims. */
    auto runSecond(const std::int64_t claims) -> void
    {
        for (int i = 0; i < ticksOfSecond; ++i) {
            const auto before = claims * i / ticksOfSecond;
            const auto after = claims * (i + 1) / ticksOfSecond;
            for (auto claimed = before; claimed < after; ++claimed) {
                claim();
            }
            tick();
        }
    }

    [[nodiscard]] auto store() const -> const jl::bench::DeterministicStore & { return store_; }
    [[nodiscard]] auto grants() const -> std::uint64_t { return grants_; }

private:
    auto hooks() -> order::ClaimHolder::Hooks
    {
        order::ClaimHolder::Hooks hooks;
        hooks.store = store_.call();
        hooks.send = [this](const jl::NodeAddress &, order::Message message) {
            take(message);
        };
        hooks.holds = [](order::Shard) {
            return true;
        };
        hooks.successor = [](order::Shard) {
            return jl::NodeAddress{};
        };
        return hooks;
    }

    auto take(const order::Message &message) -> void
    {
        const auto *answer = std::get_if<order::ClaimAnswer>(&message);
        if (answer != nullptr && answer->decision == order::Decision::Granted) {
            ++grants_;
        }
    }

    jl::NodeAddress entry_{"10.0.0.9:7000"};
    jl::Clock clock_;
    jl::Counters counters_;
    jl::bench::DeterministicStore store_;
    order::ClaimHolder holder_;
    std::uint64_t number_{};
    std::uint64_t grants_{};
};

/*! @brief One round is the commit of one more claim to a shard that remembers some. */
auto commitClaim(benchmark::State &state) -> void
{
    const auto before = jl::bench::heapBytes();
    Shard shard;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        shard.claim();
    }
    shard.runSecond(0);
    const auto heap = jl::bench::heapBytes() - before;
    for (auto round : state) {
        shard.claim();
        for (int tick = 0; tick < 16; ++tick) { // One batch interval.
            shard.tick();
        }
    }
    state.counters["value_bytes"] = static_cast<double>(shard.store().largestValue);
    state.counters["heap_bytes_per_claim"] = heap / static_cast<double>(state.range(0));
    state.counters["grants"] = static_cast<double>(shard.grants());
}

/*! @brief One round is one second of a shard with some new claims a second, from empty. */
auto claimRate(benchmark::State &state) -> void
{
    Shard shard;
    const auto writes = shard.store().writes;
    const auto bytes = shard.store().writtenBytes;
    for (auto round : state) {
        shard.runSecond(state.range(0));
    }
    const auto seconds = static_cast<double>(state.iterations());
    state.counters["store_writes_per_s"] = static_cast<double>(shard.store().writes - writes) / seconds;
    state.counters["written_bytes_per_s"] = static_cast<double>(shard.store().writtenBytes - bytes) / seconds;
    state.counters["value_bytes"] = static_cast<double>(shard.store().largestValue);
    state.counters["grants_per_s"] = static_cast<double>(shard.grants()) / seconds;
}

BENCHMARK(commitClaim)
    ->ArgName("claims")
    ->Arg(250)
    ->Arg(500)
    ->Arg(1000)
    ->Arg(2000)
    ->Arg(3990)
    ->Iterations(9)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(claimRate)
    ->ArgName("claims_per_s")
    ->Arg(1)
    ->Arg(2)
    ->Arg(4)
    ->Arg(6)
    ->Iterations(600)
    ->Unit(benchmark::kMillisecond);

} // namespace

#include "deterministic_store.hpp"

#include <jasminelatch/lease/lease_controller.hpp>
#include <jasminelatch/wire/codec.hpp>

#include <benchmark/benchmark.h>

#include <deque>
#include <string>
#include <utility>

namespace {

namespace jl = jasminelatch;
namespace lease = jasminelatch::lease;

constexpr jl::Duration tickInterval = std::chrono::milliseconds{20};
constexpr int ticksOfSecond = 50;

/*! @brief Holder of some rights and the successor of all of them, with a store that answers within a tick. */
class Pair
{
public:
    explicit Pair(const std::int64_t rights)
        : store_{clock_}
        , holder_{{}, holderAddress_, 1, clock_, counters_, hooks(holderAddress_, successorAddress_)}
        , successor_{{}, successorAddress_, 2, clock_, counters_, hooks(successorAddress_, holderAddress_)}
    {
        clock_.pause();
        for (std::int64_t i = 0; i < rights; ++i) {
            holder_.contend(jl::LeaseName{"quota/0/" + std::to_string(i)});
        }
        for (int second = 0; second < 20; ++second) {
            runSecond();
        }
    }

    auto runSecond() -> void
    {
        for (int tick = 0; tick < ticksOfSecond; ++tick) {
            clock_.advance(tickInterval);
            holder_.tick();
            successor_.tick();
            deliver();
            store_.answerAll();
        }
    }

    [[nodiscard]] auto held() const -> std::size_t { return holder_.heldRights().size(); }
    [[nodiscard]] auto storeCalls() const -> std::uint64_t { return store_.calls; }
    [[nodiscard]] auto storeWrites() const -> std::uint64_t { return store_.writes; }
    [[nodiscard]] auto messages() const -> std::uint64_t { return messages_; }
    [[nodiscard]] auto messageBytes() const -> std::uint64_t { return messageBytes_; }

private:
    struct Sent {
        jl::NodeAddress from;
        jl::NodeAddress to;
        lease::Message message;
    };

    auto hooks(const jl::NodeAddress &self, const jl::NodeAddress &other) -> lease::LeaseController::Hooks
    {
        lease::LeaseController::Hooks hooks;
        hooks.store = store_.call();
        hooks.send = [this, self](const jl::NodeAddress &to, lease::Message message) {
            ++messages_;
            messageBytes_ += jl::wire::encode(jl::wire::Message{message}).size();
            sent_.push_back({self, to, std::move(message)});
        };
        hooks.chooseSuccessor = [other](const jl::LeaseName &) {
            return std::optional{other};
        };
        hooks.acquired = [](const jl::LeaseName &, lease::Acquisition) {
        };
        hooks.lost = [](const jl::LeaseName &) {
        };
        return hooks;
    }

    auto deliver() -> void
    {
        while (!sent_.empty()) {
            const auto sent = std::move(sent_.front());
            sent_.pop_front();
            auto &receiver = sent.to == holderAddress_ ? holder_ : successor_;
            receiver.receive(sent.from, sent.message);
        }
    }

    jl::NodeAddress holderAddress_{"10.0.0.1:7000"};
    jl::NodeAddress successorAddress_{"10.0.0.2:7000"};
    jl::Clock clock_;
    jl::Counters counters_;
    jl::bench::DeterministicStore store_;
    std::deque<Sent> sent_;
    std::uint64_t messages_{};
    std::uint64_t messageBytes_{};
    lease::LeaseController holder_;
    lease::LeaseController successor_;
};

/*! @brief One round is one second of holder and successor together. */
auto holdRights(benchmark::State &state) -> void
{
    Pair pair{state.range(0)};
    const auto calls = pair.storeCalls();
    const auto writes = pair.storeWrites();
    const auto messages = pair.messages();
    const auto bytes = pair.messageBytes();
    for (auto round : state) {
        pair.runSecond();
    }
    const auto rightSeconds = static_cast<double>(state.iterations() * state.range(0));
    const auto per = [rightSeconds](const std::uint64_t value) {
        return static_cast<double>(value) / rightSeconds;
    };
    state.counters["held"] = static_cast<double>(pair.held());
    state.counters["store_calls_per_right_s"] = per(pair.storeCalls() - calls);
    state.counters["store_writes_per_right_s"] = per(pair.storeWrites() - writes);
    state.counters["messages_per_right_s"] = per(pair.messages() - messages);
    state.counters["bytes_per_right_s"] = per(pair.messageBytes() - bytes);
}

BENCHMARK(holdRights)->ArgName("rights")->Arg(1)->Arg(4)->Arg(16)->Arg(64)->Unit(benchmark::kMicrosecond);

} // namespace

#include "heap.hpp"

#include <jasminelatch/quota/borrower.hpp>
#include <jasminelatch/quota/share_holder.hpp>
#include <jasminelatch/wire/codec.hpp>

#include <benchmark/benchmark.h>

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace {

namespace jl = jasminelatch;
namespace quota = jasminelatch::quota;

constexpr std::int64_t ticksOfSecond = 50;

auto accounts(const std::int64_t count, const double rate) -> std::vector<jl::record::Account>
{
    std::vector<jl::record::Account> result;
    for (std::int64_t i = 0; i < count; ++i) {
        result.push_back({jl::AccountName{"account-" + std::to_string(i)}, rate, rate});
    }
    return result;
}

/*! @brief One borrower and one holder of all shares; messages arrive at once. */
class Quota
{
public:
    Quota(const std::int64_t count, const double rate)
        : count_{count}
    {
        clock_.pause();
        const jl::record::Fleet fleet;
        const auto records = accounts(count, rate);
        const auto before = jl::bench::heapBytes();
        borrower_.setRecords(fleet, records);
        borrowerBytes = jl::bench::heapBytes() - before;
        holder_.setRecords(fleet, records);
        for (std::uint32_t index = 0; index < fleet.quotaShares; ++index) {
            holder_.onAcquired(quota::rightName({0, index}));
        }
        clock_.advance(std::chrono::seconds{10});
    }

    /*! @brief Runs one second with requests of the first accounts in turn. */
    auto runSecond(const std::int64_t requests, const std::int64_t active) -> void
    {
        for (std::int64_t tick = 0; tick < ticksOfSecond; ++tick) {
            clock_.advance(std::chrono::milliseconds{20});
            const auto end = requests * (tick + 1) / ticksOfSecond;
            for (auto i = requests * tick / ticksOfSecond; i < end; ++i) {
                ++number_;
                const jl::AccountName account{"account-" + std::to_string(number_ % std::min(active, count_))};
                borrower_.acquire(account, [this](const quota::Decision &) { ++decided; });
                deliver();
            }
            borrower_.tick();
            deliver();
            holder_.tick();
        }
    }

    double borrowerBytes{};
    std::uint64_t decided{};
    std::uint64_t messages{};
    std::uint64_t messageBytes{};

private:
    struct Sent {
        bool toHolder{};
        quota::Message message;
    };

    auto send(const bool toHolder, quota::Message message) -> void
    {
        ++messages;
        messageBytes += jl::wire::encode(jl::wire::Message{message}).size();
        sent_.push_back({toHolder, std::move(message)});
    }

    auto deliver() -> void
    {
        while (!sent_.empty()) {
            const auto sent = std::move(sent_.front());
            sent_.pop_front();
            if (sent.toHolder) {
                holder_.receive(borrowerAddress_, sent.message);
            } else {
                borrower_.receive(holderAddress_, sent.message);
            }
        }
    }

    std::int64_t count_;
    std::int64_t number_{};
    jl::NodeAddress borrowerAddress_{"10.0.0.1:7000"};
    jl::NodeAddress holderAddress_{"10.0.0.2:7000"};
    jl::Clock clock_;
    jl::Counters counters_;
    std::deque<Sent> sent_;
    quota::Borrower borrower_{{},
                              borrowerAddress_,
                              1,
                              clock_,
                              counters_,
                              {[this](const jl::NodeAddress &, quota::Message message) { send(true, message); },
                               [this](const jl::LeaseName &) {
                                   return std::optional{holderAddress_};
                               }}};
    quota::ShareHolder holder_{{},
                               clock_,
                               counters_,
                               {[this](const jl::NodeAddress &, quota::Message message) { send(false, message); },
                                [](const jl::LeaseName &) {
                                    return true;
                                }}};
};

/*! @brief One round is one second of an entry node and the holder it borrows from. */
auto borrowSecond(benchmark::State &state) -> void
{
    const auto requests = state.range(0);
    Quota quota{4096, 10'000};
    for (int second = 0; second < 5; ++second) {
        quota.runSecond(requests, state.range(1));
    }
    const auto messages = quota.messages;
    const auto bytes = quota.messageBytes;
    for (auto round : state) {
        quota.runSecond(requests, state.range(1));
    }
    const auto seconds = static_cast<double>(state.iterations());
    const auto sent = static_cast<double>(quota.messages - messages);
    state.counters["messages_per_s"] = sent / seconds;
    state.counters["bytes_per_s"] = static_cast<double>(quota.messageBytes - bytes) / seconds;
    state.counters["bytes_per_message"] = sent > 0 ? static_cast<double>(quota.messageBytes - bytes) / sent : 0.0;
}

auto borrowerRecords(benchmark::State &state) -> void
{
    const auto records = accounts(state.range(0), 100);
    const jl::record::Fleet fleet;
    Quota quota{state.range(0), 100};
    jl::Clock clock;
    jl::Counters counters;
    quota::ShareHolder holder{{}, clock, counters, {}};
    const auto before = jl::bench::heapBytes();
    holder.setRecords(fleet, records);
    const auto holderBytes = jl::bench::heapBytes() - before;
    for (auto round : state) {
        holder.setRecords(fleet, records);
    }
    state.counters["borrower_bytes_per_account"] = quota.borrowerBytes / static_cast<double>(state.range(0));
    state.counters["holder_bytes_per_account"] = holderBytes / static_cast<double>(state.range(0));
}

/*! @brief One round is one ask of one token for one account, answered by the holder of its share. */
auto holderAsk(benchmark::State &state) -> void
{
    const auto borrowers = state.range(0);
    const jl::record::Fleet fleet;
    jl::Clock clock;
    clock.pause();
    jl::Counters counters;
    quota::ShareHolder holder{{},
                              clock,
                              counters,
                              {[](const jl::NodeAddress &, quota::Message) {},
                               [](const jl::LeaseName &) {
                                   return true;
                               }}};
    holder.setRecords(fleet, accounts(64, 1'000'000));
    for (std::uint32_t index = 0; index < fleet.quotaShares; ++index) {
        holder.onAcquired(quota::rightName({0, index}));
    }
    clock.advance(std::chrono::seconds{10});
    const auto spacing = std::chrono::duration_cast<jl::Duration>(std::chrono::seconds{1}) / borrowers;
    std::uint64_t number{};
    for (auto round : state) {
        ++number;
        quota::LoanAsk ask;
        ask.incarnation = 1;
        ask.number = number;
        ask.right = quota::rightName({0, static_cast<std::uint32_t>(number % fleet.quotaShares)});
        ask.wanted = {{jl::AccountName{"account-" + std::to_string(number % 64)}, 1}};
        const jl::NodeAddress from{"10.0.0.1:" + std::to_string(1024 + number % static_cast<std::uint64_t>(borrowers))};
        holder.receive(from, ask);
        clock.advance(spacing);
        holder.tick();
    }
}

BENCHMARK(borrowSecond)
    ->ArgNames({"requests_per_s", "accounts"})
    ->ArgsProduct({{3, 12, 45, 180}, {1, 4, 16, 64}})
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(borrowerRecords)
    ->ArgName("accounts")
    ->Arg(512)
    ->Arg(1024)
    ->Arg(4096)
    ->Arg(16384)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(holderAsk)->ArgName("asks_per_s")->Arg(100)->Arg(1000)->Arg(10000)->Arg(60000);

} // namespace

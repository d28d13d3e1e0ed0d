#include "paired_probe.hpp"

#include <jasminelatch/filter/fields.hpp>
#include <jasminelatch/net/http_client.hpp>

#include <cmath>
#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace jasminelatch::probe {

namespace internal {

constexpr long maxConnections = 512;
constexpr int statusOk = 200;

/*! @brief Round under way: its targets are called one after the other. */
struct Round {
    std::size_t first{};
    std::size_t done{};
    TimePoint sentAt;
    std::vector<std::optional<Duration>> latencies;
};

/*! @brief Runs rounds; its methods are called on the thread of the client, but for `begin` and `finish`. */
class Rounds
{
public:
    Rounds(const std::span<const Target> targets, std::string key)
        : targets_{targets}
        , key_{std::move(key)}
        , samples_{targets.size()}
        , client_{std::make_unique<net::HttpClient>(maxConnections)}
    {
    }

    auto begin(const std::size_t number) -> void
    {
        {
            const std::lock_guard lock{mutex_};
            ++open_;
        }
        auto round = std::make_shared<Round>();
        round->first = number % targets_.size();
        round->latencies.resize(targets_.size());
        callNext(round);
    }

    auto finish() -> PairedSamples
    {
        std::unique_lock lock{mutex_};
        allDone_.wait(lock, [this] { return open_ == 0; });
        return samples_;
    }

private:
    auto callNext(const std::shared_ptr<Round> &round) -> void
    {
        const auto target = (round->first + round->done) % targets_.size();
        net::HttpCall call;
        call.url = targets_[target].url;
        if (!key_.empty()) {
            call.headers[std::string{filter::apiKeyField}] = key_;
        }
        round->sentAt = clock_.now();
        client_->send(std::move(call),
                      [this, round, target](const net::HttpResult &result) { take(round, target, result); });
    }

    auto take(const std::shared_ptr<Round> &round, const std::size_t target, const net::HttpResult &result) -> void
    {
        if (result.end == net::HttpEnd::Answered && result.response.status == statusOk) {
            round->latencies[target] = clock_.now() - round->sentAt;
        }
        ++round->done;
        if (round->done < targets_.size()) {
            callNext(round);
            return;
        }
        const std::lock_guard lock{mutex_};
        samples_.add(round->latencies);
        --open_;
        allDone_.notify_all();
    }

    std::span<const Target> targets_;
    std::string key_;
    Clock clock_;
    std::mutex mutex_;
    std::condition_variable allDone_;
    PairedSamples samples_;
    std::size_t open_{};
    std::unique_ptr<net::HttpClient> client_; // Last, so that its thread ends first.
};

} // namespace internal

auto runPairedProbe(const std::span<const Target> targets, const Load &load) -> PairedSamples
{
    internal::Rounds rounds{targets, load.key};
    const auto count = static_cast<std::size_t>(load.rate * std::chrono::duration<double>{load.length}.count());
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t number = 0; number < count; ++number) {
        const std::chrono::duration<double> offset{static_cast<double>(number) / load.rate};
        std::this_thread::sleep_until(start + std::chrono::duration_cast<std::chrono::nanoseconds>(offset));
        rounds.begin(number);
    }
    return rounds.finish();
}

} // namespace jasminelatch::probe

#include "heap.hpp"

#include <jasminelatch/admission/controller.hpp>

#include <benchmark/benchmark.h>

#include <deque>
#include <string>

namespace {

namespace jl = jasminelatch;
namespace admission = jasminelatch::admission;

constexpr std::uint32_t slots = 100;

/*! @brief Controller with a full backend server and a queue of a fixed length. */
class Load
{
public:
    Load(const std::int64_t accounts, const std::int64_t queue)
        : accounts_{accounts}
        , controller_{settings(), clock_, counters_, hooks()}
    {
        clock_.pause();
        controller_.setCapacity(slots, slots, jl::membership::EndpointState::Ready);
        for (std::int64_t i = 0; i < slots + queue; ++i) {
            submit();
        }
    }

    auto submit() -> void
    {
        admission::Item item;
        item.id = jl::RequestId{"request-" + std::to_string(number_)};
        item.account = jl::AccountName{"account-" + std::to_string(number_ % accounts_)};
        item.deadline = clock_.now() + std::chrono::hours{1};
        ++number_;
        controller_.submit(item);
    }

    auto finishOldest() -> void
    {
        const auto id = running_.front();
        running_.pop_front();
        controller_.finish(id, {std::chrono::milliseconds{1}, admission::Result::Ok});
    }

    [[nodiscard]] auto queued() const -> std::size_t { return controller_.queued(); }
    [[nodiscard]] auto refused() const -> std::uint64_t { return refused_; }

private:
    static auto settings() -> admission::Settings
    {
        admission::Settings settings;
        settings.mode = admission::Mode::Adaptive;
        settings.queueLimit = 4096;
        return settings;
    }

    auto hooks() -> admission::Controller::Hooks
    {
        return {[this](const jl::RequestId &id) { running_.push_back(id); },
                [this](const jl::RequestId &, const jl::Refusal &) {
                    ++refused_;
                }};
    }

    std::int64_t accounts_;
    std::int64_t number_{};
    std::uint64_t refused_{};
    std::deque<jl::RequestId> running_;
    jl::Clock clock_;
    jl::Counters counters_;
    admission::Controller controller_;
};

auto admitRequest(benchmark::State &state) -> void
{
    const auto before = jasminelatch::bench::heapBytes();
    Load load{state.range(0), state.range(1)};
    const auto perRequest = (jasminelatch::bench::heapBytes() - before) / static_cast<double>(slots + state.range(1));
    for (auto round : state) {
        load.submit();
        load.finishOldest();
    }
    state.counters["bytes_per_request"] = perRequest;
    state.counters["queued"] = static_cast<double>(load.queued());
    state.counters["refused"] = static_cast<double>(load.refused());
}

BENCHMARK(admitRequest)->ArgNames({"accounts", "queue"})->ArgsProduct({{1, 8, 64, 512}, {0, 64, 512, 2048}});

} // namespace

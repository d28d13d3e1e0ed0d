#ifndef JASMINELATCH_BENCH_DETERMINISTIC_STORE_HPP
#define JASMINELATCH_BENCH_DETERMINISTIC_STORE_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/store/memory_store.hpp>
#include <jasminelatch/store/request.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

namespace jasminelatch::bench {

/*! @brief Store in memory that answers when told to, and counts calls and the bytes written. */
class DeterministicStore
{
public:
    explicit DeterministicStore(const Clock &clock)
        : clock_{&clock}
    {
    }

    /*! @brief Returns the hook through which controllers call it. */
    [[nodiscard]] auto call() -> store::Call
    {
        return [this](store::Request request, store::Callback callback) {
            open_.emplace_back(std::move(request), std::move(callback));
        };
    }

    /*! @brief Answers every call made so far. */
    auto answerAll() -> void
    {
        auto open = std::exchange(open_, {});
        for (auto &[request, callback] : open) {
            ++calls;
            writes += request.operation == store::Operation::Put ? 1U : 0U;
            writtenBytes += request.value.size();
            largestValue = std::max(largestValue, request.value.size());
            callback(memory_.apply(request, clock_->now()));
        }
    }

    std::uint64_t calls{}; /*!< Calls answered. */
    std::uint64_t writes{}; /*!< Writes among them. */
    std::uint64_t writtenBytes{}; /*!< Bytes of the values written. */
    std::size_t largestValue{}; /*!< Largest value written, in bytes. */

private:
    const Clock *clock_;
    store::MemoryStore memory_;
    std::deque<std::pair<store::Request, store::Callback>> open_;
};

} // namespace jasminelatch::bench

#endif

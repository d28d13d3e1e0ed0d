#ifndef JASMINELATCH_TEST_SUPPORT_FAKE_STORE_HPP
#define JASMINELATCH_TEST_SUPPORT_FAKE_STORE_HPP

#include <jasminelatch/store/memory_store.hpp>

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

namespace jasminelatch::test {

/*! @brief Fault mode of the fake store. */
enum class StoreFault {
    None,
    Down, /*!< Calls have no effect and are answered `Unknown`. */
    LoseAnswers /*!< Calls take effect and are answered `Unknown`. */
};

/**
 * @brief In-memory store that executes and answers calls only on request of the test.
 *
 * Watches stay pending until there is a change to report or their wait has elapsed.
 */
class FakeStore
{
public:
    explicit FakeStore(const Clock &clock)
        : clock_{&clock}
    {
    }

    /*! @brief Returns the hook by which a node core calls this store. */
    [[nodiscard]] auto hook() -> store::Call
    {
        return [this](store::Request request, store::Callback callback) {
            ++calls_;
            writes_ += request.operation == store::Operation::Put || request.operation == store::Operation::Remove;
            pending_.push_back({std::move(request), std::move(callback), clock_->now()});
        };
    }

    /*! @brief Executes and answers the pending call at `index`. */
    auto answer(const std::size_t index) -> void
    {
        auto call = std::move(pending_.at(index));
        pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
        complete(std::move(call));
    }

    /*! @brief Answers all pending calls except watches that still wait, including calls made by their callbacks. */
    auto answerAll() -> void
    {
        for (std::size_t index = 0; index < pending_.size();) {
            if (isWaiting(pending_[index])) {
                ++index;
                continue;
            }
            answer(index);
            index = 0;
        }
    }

    /*! @brief Discards all pending calls without executing or answering them. */
    auto dropPending() -> void { pending_.clear(); }

    auto setFault(const StoreFault fault) -> void { fault_ = fault; }

    [[nodiscard]] auto pendingCount() const -> std::size_t { return pending_.size(); }
    [[nodiscard]] auto pending(const std::size_t index) const -> const store::Request &
    {
        return pending_.at(index).request;
    }
    [[nodiscard]] auto calls() const -> std::size_t { return calls_; }
    [[nodiscard]] auto writes() const -> std::size_t { return writes_; }

    /*! @brief Direct access to the data, for setup and for the oracle. */
    [[nodiscard]] auto memory() -> store::MemoryStore & { return memory_; }

private:
    struct Pending {
        store::Request request;
        store::Callback callback;
        TimePoint since;
    };

    [[nodiscard]] auto isWaiting(const Pending &call) const -> bool
    {
        const auto &request = call.request;
        return fault_ == StoreFault::None && request.operation == store::Operation::Watch
            && clock_->now() < call.since + request.wait && !memory_.hasNews(request);
    }

    auto complete(Pending call) -> void
    {
        store::Answer answer;
        if (fault_ != StoreFault::Down) {
            answer = memory_.apply(call.request, clock_->now());
        }
        if (fault_ != StoreFault::None) {
            answer = store::Answer{};
        }
        call.callback(std::move(answer));
    }

    const Clock *clock_;
    store::MemoryStore memory_;
    std::deque<Pending> pending_;
    StoreFault fault_{StoreFault::None};
    std::size_t calls_{};
    std::size_t writes_{};
};

} // namespace jasminelatch::test

#endif

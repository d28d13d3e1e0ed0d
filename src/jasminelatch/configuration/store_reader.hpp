#ifndef JASMINELATCH_CONFIGURATION_STORE_READER_HPP
#define JASMINELATCH_CONFIGURATION_STORE_READER_HPP

#include "view.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/store/request.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace jasminelatch::configuration {

/**
 * @brief Follows the configuration in the store: change sets by a waiting watch, the snapshot after a gap.
 *
 * One call is open at a time. An answer that comes after the call was given up still counts: it is a read, true as of
 * the moment it was sent.
 */
class StoreReader
{
public:
    /*! @brief Times of the reader. */
    struct Settings {
        Duration watchWait{std::chrono::milliseconds{500}}; /*!< Longest wait of one watch. */
        Duration answerTimeout{
            std::chrono::milliseconds{750}}; /*!< Time, beside the wait, after which a call is given up. */
        Duration retryInterval{std::chrono::milliseconds{750}}; /*!< Least time between calls while they fail. */
    };

    /*! @brief What the reader needs. */
    struct Hooks {
        store::Call store; /*!< Calls the store. */
        std::function<Revision()> revision; /*!< Returns the revision in force. */
        std::function<bool(const ChangeSet &)> apply; /*!< Applies a change set; false when it does not follow. */
        std::function<void(Revision, std::vector<SnapshotPart>)> replace; /*!< Takes a snapshot of a higher revision. */
        std::function<void(TimePoint sentAt)> upToDate; /*!< Every change accepted before that moment is applied. */
        std::function<void(TimePoint sentAt)> answered; /*!< The store answered a call. */
        std::function<void(TimePoint sentAt)> unanswered; /*!< The store did not answer a call. */
    };

    StoreReader(Settings settings, const Clock &clock, Counters &counters, Hooks hooks);

    /*! @brief Starts the next call when it is due; to be called only while this node reads the store. */
    auto tick() -> void;

private:
    struct OpenCall {
        std::uint64_t number{};
        TimePoint sentAt;
        Duration limit{};
    };
    struct Loading {
        Base base;
        std::vector<SnapshotPart> parts;
    };
    using Handler = void (StoreReader::*)(const store::Answer &answer, TimePoint sentAt, bool isCurrent);

    auto giveUpLateCall() -> void;
    auto call(store::Request request, Handler handler) -> void;
    auto finish(std::uint64_t number, TimePoint sentAt, const store::Answer &answer, Handler handler) -> void;
    auto fail(TimePoint sentAt) -> void;
    auto callWatch() -> void;
    auto onWatch(const store::Answer &answer, TimePoint sentAt, bool isCurrent) -> void;
    [[nodiscard]] auto applyAll(const store::Answer &answer, bool isComplete) -> bool;
    auto onBase(const store::Answer &answer, TimePoint sentAt, bool isCurrent) -> void;
    auto onPart(const store::Answer &answer, TimePoint sentAt, bool isCurrent) -> void;
    auto wantBase() -> void;

    Settings settings_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    std::shared_ptr<bool> alive_{std::make_shared<bool>(true)};
    std::optional<OpenCall> open_;
    std::uint64_t lastNumber_{};
    TimePoint nextCall_{};
    bool failing_{};
    bool listed_{}; // Every change set in the store has been seen once.
    bool baseWanted_{};
    std::optional<Loading> loading_;
    store::Revision after_{};
};

} // namespace jasminelatch::configuration

#endif

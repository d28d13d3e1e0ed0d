#ifndef JASMINELATCH_CONNECTION_ANSWER_CACHE_HPP
#define JASMINELATCH_CONNECTION_ANSWER_CACHE_HPP

#include "message.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/identifier.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace jasminelatch::connection {

/*! @brief Settings of the answer cache. */
struct CacheSettings {
    Duration answerRetention{std::chrono::seconds{10}}; /*!< How long an answer is kept for sending again. */
    std::size_t answerBytes{16U << 20U}; /*!< Most bytes of answers kept. */
    Duration idRetention{std::chrono::minutes{2}}; /*!< How long an id is kept; longer than any deadline. */
    std::size_t idLimit{100'000}; /*!< Most ids of requests taken on that are kept. */
    std::size_t refusedLimit{10'000}; /*!< Most ids kept that were declared not run. */
};

/**
 * @brief Remembers which requests this node took on, and their recent answers.
 *
 * It says "not run" only of a request that it refuses from then on.
 */
class AnswerCache
{
public:
    /*! @brief Actions of the cache. */
    struct Hooks {
        /*! Sends an answer again to the node that asks for it. */
        std::function<void(const NodeAddress &to, const RequestId &id, std::string_view answer)> resend;
    };

    /**
     * @brief Creates an empty cache.
     * @param settings Settings.
     * @param incarnation Incarnation of this node.
     * @param clock Clock; must outlive the cache.
     * @param counters Counters; must outlive the cache.
     * @param hooks Actions.
     */
    AnswerCache(CacheSettings settings, Incarnation incarnation, const Clock &clock, Counters &counters, Hooks hooks);

    /**
     * @brief Takes on a request; to be called before anything is run for it.
     * @param id The request.
     * @param target Incarnation that it was sent to, as `Monitor::sent` returned it; zero when that was not known.
     * @return False when it must not run: it was taken on before, was declared not run, or was meant for another
     * incarnation. Such a request is dropped without an answer.
     */
    [[nodiscard]] auto begin(const RequestId &id, Incarnation target = {}) -> bool;

    /**
     * @brief Keeps the answer to a request; a refusal is an answer too.
     * @param id A request that `begin` took on; others are ignored.
     * @param answer The answer in the form it is sent in.
     */
    auto complete(const RequestId &id, std::string answer) -> void;

    /**
     * @brief Answers a query; answers at hand are sent again by the hook.
     * @param from Node that asks.
     * @param query The query.
     * @return State of each request.
     */
    [[nodiscard]] auto report(const NodeAddress &from, const AnswerQuery &query) -> AnswerReport;

    /*! @brief Drops what has been kept long enough. */
    auto tick() -> void;

    /**
     * @brief Returns the incarnation of this node.
     * @return The incarnation.
     */
    [[nodiscard]] auto incarnation() const noexcept -> Incarnation;

    /**
     * @brief Returns the bytes of answers kept.
     * @return Number of bytes.
     */
    [[nodiscard]] auto answerBytes() const noexcept -> std::size_t;

private:
    enum class State : std::uint8_t { InProgress, Done, Refused };

    struct Entry {
        State state{State::InProgress};
        std::optional<std::string> answer;
    };

    struct Aged {
        RequestId id;
        TimePoint at;
    };

    auto dropOldestAnswer() -> void;
    auto forgetOldest() -> void;
    auto erase(const RequestId &id) -> void;
    [[nodiscard]] auto stateOf(const NodeAddress &from, const MissingAnswer &missing) -> AnswerState;
    [[nodiscard]] auto stateOfUnknown(const MissingAnswer &missing) -> AnswerState;
    [[nodiscard]] auto hasForgotten() const -> bool;

    CacheSettings settings_;
    Incarnation incarnation_;
    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    std::unordered_map<RequestId, Entry> entries_;
    std::deque<Aged> taken_;
    std::deque<Aged> refused_;
    std::deque<Aged> answers_;
    std::size_t answerBytes_{};
    std::optional<TimePoint> forgotAt_;
};

} // namespace jasminelatch::connection

#endif

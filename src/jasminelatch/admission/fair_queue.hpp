#ifndef JASMINELATCH_ADMISSION_FAIR_QUEUE_HPP
#define JASMINELATCH_ADMISSION_FAIR_QUEUE_HPP

#include "pressure.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/record/records.hpp>

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jasminelatch::admission {

/*! @brief Request that asks to be run. */
struct Item {
    RequestId id; /*!< Unique id. */
    record::Importance importance{}; /*!< Rank; zero is the most important. */
    AccountName account; /*!< Client account; empty for open routes. */
    TimePoint deadline; /*!< Point in time at which its answer becomes worthless. */
    TimePoint arrival; /*!< Set by the controller. */
};

/**
 * @brief Queue that serves importances in strict order and the accounts of one importance in turn.
 *
 * Taking turns one request at a time gives the accounts max-min fair shares. Requests of one account keep their order.
 */
class FairQueue
{
public:
    /**
     * @brief Adds a request.
     * @param item The request; its id must not be queued already.
     */
    auto push(Item item) -> void;

    /**
     * @brief Returns the request whose turn it is; taking it out by `remove` leaves the turn to its account.
     * @return The request, valid until the next change; null when the queue is empty.
     */
    [[nodiscard]] auto front() const -> const Item *;

    /**
     * @brief Takes out the request whose turn it is.
     * @return The request, or nothing when the queue is empty.
     */
    auto pop() -> std::optional<Item>;

    /**
     * @brief Takes out a request before its turn.
     * @param id The request.
     * @return True when it was queued.
     */
    auto remove(const RequestId &id) -> bool;

    /**
     * @brief Takes out the request to shed in favour of a new one.
     *
     * That is the newest of the account with the longest queue in the least important kind, the new one included.
     * @param item The new request, not in the queue.
     * @return The request shed, or nothing when the new one is to be shed itself.
     */
    auto evictFor(const Item &item) -> std::optional<Item>;

    /**
     * @brief Takes out every request that a condition holds for.
     * @param condition The condition.
     * @return The requests taken out.
     */
    auto removeIf(const std::function<bool(const Item &)> &condition) -> std::vector<Item>;

    /**
     * @brief Counts the requests whose turn comes before that of a new one, as things stand.
     * @param importance Importance of the new request.
     * @param account Account of the new request.
     * @return Number of requests.
     */
    [[nodiscard]] auto ahead(record::Importance importance, const AccountName &account) const -> std::size_t;

    /**
     * @brief Returns the least important kind that waits.
     * @return Its importance, or nothing when the queue is empty.
     */
    [[nodiscard]] auto leastImportantQueued() const -> std::optional<record::Importance>;

    /**
     * @brief Returns the number of requests that wait.
     * @return Number of requests.
     */
    [[nodiscard]] auto size() const noexcept -> std::size_t;

private:
    /*! @brief Requests of one importance. */
    struct Lane {
        std::map<AccountName, std::deque<Item>> accounts; /*!< Never holds an empty queue. */
        std::deque<AccountName> turns; /*!< Accounts in the order they are served. */
        std::size_t size{}; /*!< Requests of all accounts. */
    };

    struct Place {
        record::Importance importance{};
        AccountName account;
    };

    static auto takeNewest(Lane &lane, const AccountName &account) -> Item;
    static auto dropIfEmpty(Lane &lane, const AccountName &account) -> void;
    auto forget(const Item &item) -> void;

    std::array<Lane, importanceCount> lanes_;
    std::unordered_map<RequestId, Place> places_;
};

} // namespace jasminelatch::admission

#endif

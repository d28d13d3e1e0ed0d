#ifndef JASMINELATCH_ORDER_SETTINGS_HPP
#define JASMINELATCH_ORDER_SETTINGS_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstddef>

namespace jasminelatch::order {

/*! @brief Limits of claims; all nodes of a fleet use the same values. */
struct Settings {
    Duration retention{std::chrono::minutes{10}}; /*!< How long a claim is remembered. */
    Duration grantValidity{std::chrono::seconds{5}}; /*!< From asking to dispatch, at most. Far below `retention`. */
    Duration runLimit{
        std::chrono::seconds{30}}; /*!< After this a granted claim without a result has an unknown outcome. */
    Duration batchInterval{std::chrono::milliseconds{150}}; /*!< Between two commits of one shard. */
    Duration commitPatience{
        std::chrono::milliseconds{400}}; /*!< Wait for the store before the successor's memory counts. */
    Duration retryInterval{std::chrono::milliseconds{500}}; /*!< After a store call with an unknown outcome. */
    Duration replicaInterval{std::chrono::seconds{1}}; /*!< Between two messages to an idle replica. */
    Duration fetchPatience{std::chrono::seconds{1}}; /*!< Wait for the replica of a former holder. */
    Duration askInterval{
        std::chrono::milliseconds{250}}; /*!< Between two asks for one request, and between two reports. */
    Duration askTimeout{std::chrono::seconds{2}}; /*!< After this an unanswered request is refused. */
    Duration reportTimeout{std::chrono::seconds{60}}; /*!< After this an unacknowledged report is dropped. */
    std::size_t maxClaims{4000}; /*!< Claims of one shard; they fit into one value of the store. */
    std::size_t maxAnswerBytes{4U << 20U}; /*!< Answers kept for repeats, per shard. */
    bool grantFromReplica{true}; /*!< False refuses new claims while the store is down. */
};

} // namespace jasminelatch::order

#endif

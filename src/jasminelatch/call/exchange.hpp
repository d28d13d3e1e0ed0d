#ifndef JASMINELATCH_CALL_EXCHANGE_HPP
#define JASMINELATCH_CALL_EXCHANGE_HPP

#include <jasminelatch/configuration/view.hpp>
#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/net/http.hpp>
#include <jasminelatch/record/records.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace jasminelatch::call {

/*! @brief Door through which a request came to its first node. */
enum class Origin : std::uint8_t {
    Caller, /*!< A client, with a key or on an open route. */
    BackendServer /*!< The backend server beside this node, with a ticket or on an open route. */
};

/*! @brief Request that entered the system at this node, on its way through the filters. */
struct Exchange {
    RequestId id; /*!< Unique id, shown to the caller. */
    Origin origin{Origin::Caller}; /*!< Door it came through. */
    net::HttpRequest request; /*!< The request; the key is removed once it is checked. */
    std::shared_ptr<const configuration::View> view; /*!< Configuration in force at its arrival. */
    const record::Kind *kind{}; /*!< Its kind, from `view`. */
    std::string path; /*!< Path with query below the service, without any key. */
    AccountName account; /*!< Client account; empty on open routes. */
    record::Importance importance{}; /*!< Rank of the root's kind. */
    RequestId root; /*!< Request of the client; the same as `id` for a client's request. */
    RequestId parent; /*!< Attempt that the calling backend server runs; empty for a client's request. */
    NodeAddress ledger; /*!< Node that keeps the retries of the root. */
    std::uint32_t depth{}; /*!< Calls between the client and this request. */
    TimePoint arrival; /*!< When it arrived. */
    TimePoint deadline; /*!< When its answer becomes worthless. */
    std::string idempotencyKey; /*!< Key of the claim that it holds; empty without a claim. */
};

} // namespace jasminelatch::call

#endif

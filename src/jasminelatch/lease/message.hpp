#ifndef JASMINELATCH_LEASE_MESSAGE_HPP
#define JASMINELATCH_LEASE_MESSAGE_HPP

#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/core/json.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>
#include <variant>

namespace jasminelatch::lease {

/*! @brief Holder to successor: asks for the promise not to take the right over for a while. */
struct PromiseRequest {
    static constexpr std::string_view type = "lease.promise_request";

    LeaseName right; /*!< The right. */
    std::uint64_t term{}; /*!< Holder's term. */
    std::uint64_t incarnation{}; /*!< Holder's process. */
    std::uint64_t sequence{}; /*!< Number of the request within that process. */
    Duration validity{}; /*!< Length of the promise, on the holder's clock. */
};

/*! @brief Successor to holder: gives or refuses the promise. */
struct PromiseAnswer {
    static constexpr std::string_view type = "lease.promise_answer";

    LeaseName right; /*!< The right. */
    std::uint64_t incarnation{}; /*!< From the request. */
    std::uint64_t sequence{}; /*!< From the request. */
    bool promised{}; /*!< False when the sender has begun to take the right over. */
};

/*! @brief Former holder to successor: the record says released. */
struct Released {
    static constexpr std::string_view type = "lease.released";

    LeaseName right; /*!< The right. */
    std::uint64_t term{}; /*!< Term that ended. */
};

/*! @brief Contender to the nodes that a record names: nobody renews the record, so read it. */
struct Orphaned {
    static constexpr std::string_view type = "lease.orphaned";

    LeaseName right; /*!< The right. */
    std::uint64_t term{}; /*!< Term of the record. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PromiseRequest, right, term, incarnation, sequence, validity)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PromiseAnswer, right, incarnation, sequence, promised)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Released, right, term)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Orphaned, right, term)

/*! @brief Any message between lease controllers. */
using Message = std::variant<PromiseRequest, PromiseAnswer, Released, Orphaned>;

} // namespace jasminelatch::lease

#endif

#ifndef JASMINELATCH_RETRY_MESSAGE_HPP
#define JASMINELATCH_RETRY_MESSAGE_HPP

#include "reason.hpp"

#include <jasminelatch/core/identifier.hpp>

#include <cstdint>
#include <string_view>
#include <tuple>
#include <variant>

namespace jasminelatch::retry {

/*! @brief Unique name of one ask, over all nodes and restarts. */
struct AskId {
    std::uint64_t incarnation{}; /*!< Random number of the asking process. */
    std::uint64_t number{}; /*!< Number of the ask within the process. */

    friend auto operator<(const AskId &left, const AskId &right) -> bool
    {
        return std::tie(left.incarnation, left.number) < std::tie(right.incarnation, right.number);
    }
};

/*! @brief A dispatching node asks the ledger for one retry. */
struct Ask {
    static constexpr std::string_view type = "retry.ask";
    AskId id; /*!< Name of this ask. */
    RequestId request; /*!< Client request at the root of the call tree. */
    Reason reason{Reason::BackendFailed}; /*!< Why a retry is wanted. */
};

/*! @brief Answer to `Ask`. */
struct Grant {
    static constexpr std::string_view type = "retry.grant";
    AskId id; /*!< As in the ask. */
    Verdict verdict{Verdict::NoAnswer}; /*!< Whether the retry may be made. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AskId, incarnation, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Ask, id, request, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Grant, id, verdict)

/*! @brief Any message of this module. */
using Message = std::variant<Ask, Grant>;

} // namespace jasminelatch::retry

#endif

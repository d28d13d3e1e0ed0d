#ifndef JASMINELATCH_CALL_MESSAGE_HPP
#define JASMINELATCH_CALL_MESSAGE_HPP

#include <jasminelatch/admission/pressure.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/core/json.hpp>
#include <jasminelatch/core/refusal.hpp>
#include <jasminelatch/net/http.hpp>
#include <jasminelatch/record/records.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace jasminelatch::call {

/*! @brief Asks the node beside an instance to run a request once. */
struct Attempt {
    static constexpr std::string_view type = "call.attempt";
    RequestId id; /*!< Id of this attempt, used for nothing else. */
    std::uint64_t target{}; /*!< Incarnation of the node that it is meant for; zero when unknown. */
    RequestId root; /*!< Request of the client. */
    NodeAddress ledger; /*!< Node that keeps the retries of the root. */
    ServiceName service; /*!< Service that is asked. */
    AccountName account; /*!< Client account; empty on open routes. */
    record::Importance importance{}; /*!< Rank of the root's kind. */
    std::uint32_t depth{}; /*!< Calls between the client and this instance. */
    bool idempotent{true}; /*!< Whether running it twice does no harm. */
    Duration remaining{}; /*!< Time left until the deadline. */
    std::string method; /*!< HTTP method. */
    std::string path; /*!< Path with query, below the service. */
    net::Headers headers; /*!< Header fields without any key. */
    nlohmann::json::binary_t body; /*!< Whole body. */
};

/*! @brief Answer to an attempt. */
struct Answer {
    static constexpr std::string_view type = "call.answer";
    RequestId id; /*!< Id of the attempt. */
    Outcome outcome{Outcome::Unknown}; /*!< Whether it ran. */
    std::optional<RefusalReason> reason; /*!< Set when there is no response of a backend server. */
    Duration retryAfter{}; /*!< When to come back, with a refusal. */
    int status{}; /*!< HTTP status of the backend server. */
    net::Headers headers; /*!< Header fields of the backend server. */
    nlohmann::json::binary_t body; /*!< Whole body. */
    std::optional<admission::Pressure> pressure; /*!< Load of the answering node. */
};

/*! @brief Withdraws an attempt: its answer is no longer wanted. */
struct Cancel {
    static constexpr std::string_view type = "call.cancel";
    RequestId id; /*!< Id of the attempt. */
};

/*! @brief Writes an attempt as JSON. */
auto to_json(nlohmann::json &json, const Attempt &attempt) -> void;
/*! @brief Reads an attempt; throws `nlohmann::json::exception` when it is malformed. */
auto from_json(const nlohmann::json &json, Attempt &attempt) -> void;
/*! @brief Writes an answer as JSON. */
auto to_json(nlohmann::json &json, const Answer &answer) -> void;
/*! @brief Reads an answer; throws `nlohmann::json::exception` when it is malformed. */
auto from_json(const nlohmann::json &json, Answer &answer) -> void;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Cancel, id)

/*! @brief Any message of this module. */
using Message = std::variant<Attempt, Answer, Cancel>;

} // namespace jasminelatch::call

#endif

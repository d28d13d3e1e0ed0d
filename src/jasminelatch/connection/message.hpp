#ifndef JASMINELATCH_CONNECTION_MESSAGE_HPP
#define JASMINELATCH_CONNECTION_MESSAGE_HPP

#include <jasminelatch/core/identifier.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminelatch::connection {

/*! @brief Random number drawn at the start of a node process; zero stands for an unknown one. */
using Incarnation = std::uint64_t;

/*! @brief Heartbeat. */
struct Ping {
    static constexpr std::string_view type = "connection.ping";
    std::uint64_t sequence{}; /*!< Number of the heartbeat at its sender. */
    bool afterSilence{}; /*!< Earlier heartbeats went unanswered: perhaps the receiver's own connection is silent. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Ping, sequence, afterSilence)

/*! @brief Answer to a heartbeat. */
struct Pong {
    static constexpr std::string_view type = "connection.pong";
    std::uint64_t sequence{}; /*!< Number of the heartbeat answered. */
    Incarnation incarnation{}; /*!< Incarnation of the node that answers. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Pong, sequence, incarnation)

/*! @brief Request whose answer is missing. */
struct MissingAnswer {
    RequestId id; /*!< The request. */
    Incarnation incarnation{}; /*!< Incarnation of the peer that was known when the request was sent. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MissingAnswer, id, incarnation)

/*! @brief Asks a peer what became of requests. */
struct AnswerQuery {
    static constexpr std::string_view type = "connection.answer_query";
    std::vector<MissingAnswer> missing; /*!< The requests. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnswerQuery, missing)

/*! @brief What a peer knows of a request. */
enum class AnswerState : std::uint8_t {
    Done, /*!< Answered; the answer is sent again. */
    InProgress, /*!< Still running; its answer follows. */
    NotRun, /*!< Not run, and it never will be. */
    Ran, /*!< Ran, but the answer is no longer kept. */
    Unknown /*!< May have run. */
};

/*! @brief State of one request. */
struct AnswerStatus {
    RequestId id; /*!< The request. */
    AnswerState state{AnswerState::Unknown}; /*!< Its state. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnswerStatus, id, state)

/*! @brief Answer to a query. */
struct AnswerReport {
    static constexpr std::string_view type = "connection.answer_report";
    std::vector<AnswerStatus> statuses; /*!< One for each request asked for. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnswerReport, statuses)

/*! @brief Any message of this module. */
using Message = std::variant<Ping, Pong, AnswerQuery, AnswerReport>;

} // namespace jasminelatch::connection

#endif

#ifndef JASMINELATCH_RECORD_RECORDS_HPP
#define JASMINELATCH_RECORD_RECORDS_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>

#include <cstdint>
#include <string>

namespace jasminelatch::record {

/*! @brief Rank of a request kind; zero is the most important and is shed last. */
using Importance = std::uint8_t;

/*! @brief Highest value of `Importance`: shed first. */
inline constexpr Importance leastImportant = 3;

/*! @brief Client account with its fleet-wide limits. */
struct Account {
    AccountName name; /*!< Unique name. */
    double rate{}; /*!< Requests per second over all VMs, above zero. */
    double burst{}; /*!< Requests above the rate that may run at once, at least one. */
};

/*! @brief Key of a client account; only its hash is kept. */
struct Key {
    std::string id; /*!< Public part of the key, unique. */
    std::string hash; /*!< Keyed hash of the secret part, in hexadecimal. */
    AccountName account; /*!< Account that the key stands for. */
};

/*! @brief Request kind: the routes that are handled alike. */
struct Kind {
    KindName name; /*!< Unique name. */
    ServiceName service; /*!< Service that answers it. */
    std::string method; /*!< HTTP method in upper case. */
    std::string path; /*!< Path prefix below the service, starting with a slash. */
    Importance importance{}; /*!< Rank under overload. */
    bool open{}; /*!< Runs without a key. */
    bool idempotent{true}; /*!< May be sent again after an unknown outcome. */
    double weight{1.0}; /*!< Worth of one whole answer in goodput; zero for internal lookups. */
    Duration timeout{std::chrono::seconds{2}}; /*!< Deadline when the caller gives none. */
};

/*! @brief Limits that hold for the whole fleet. */
struct Fleet {
    std::uint32_t retryLimit{3}; /*!< Retries for one client request over its whole tree of calls. */
    std::uint32_t maxDepth{14}; /*!< Longest chain of calls. */
    std::uint32_t quotaGroups{1}; /*!< Groups that accounts are hashed into. */
    std::uint32_t quotaShares{8}; /*!< Shares that each account's rate is split into. */
    std::uint32_t orderShards{8}; /*!< Shards that idempotency keys are hashed into. */
    Duration orderRetention{std::chrono::minutes{10}}; /*!< How long a claim is remembered. */
};

} // namespace jasminelatch::record

#endif

#ifndef JASMINELATCH_SIDECAR_DIALECT_HPP
#define JASMINELATCH_SIDECAR_DIALECT_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/mesh/configuration.hpp>
#include <jasminelatch/mesh/hop.hpp>
#include <jasminelatch/mesh/http.hpp>
#include <jasminelatch/mesh/instance_record.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::sidecar {

/*! @brief Header fields of a client's request that a node evaluates. */
struct ClientCall {
    std::string attemptId; /*!< Id of the client's attempt; empty if the request has none. */
    std::string host; /*!< Value of the `Host` field. */
    std::optional<Duration> timeLeft; /*!< Time until the client's deadline; nothing if the request has none. */
    std::optional<std::string> key; /*!< API key; nothing if the request carries no credentials. */
};

/*! @brief Delivery status that an instance's answer carries in its status code and header fields. */
struct InstanceOutcome {
    bool notExecuted{}; /*!< Whether the instance reports that it has not executed the request. */
    bool wrongInstance{}; /*!< Whether an instance other than the targeted one has answered. */
};

/*! @brief What an instance states about itself in an answer. */
struct InstanceCondition {
    std::optional<double> rateLimit; /*!< Requests per second that it accepts from all nodes; nothing if unlimited. */
    bool isLeaving{}; /*!< Whether it is about to stop. */
    std::optional<double> slowness; /*!< Present run time relative to the usual one; nothing if not stated. */
};

/*! @brief Key-value item of the store, or its removal. */
struct StoreItem {
    std::string key; /*!< Key in the store. */
    std::string value; /*!< Decoded value; empty for a removed item. */
    std::uint64_t revision{}; /*!< Store revision of the item's last change. */
    bool removed{}; /*!< Whether the change removed the item. */
};

/*! @brief Page of a listing, or the changes that a watch returned. */
struct StorePage {
    std::vector<StoreItem> items; /*!< Items or changes, in the order of the store's answer. */
    std::uint64_t revision{}; /*!< Store revision that the page reflects. */
    bool hasMore{}; /*!< Whether another page follows. */
    std::size_t unreadable{}; /*!< Number of items that are left out because they can't be decoded. */
};

/*! @brief Lease granted by the store. */
struct StoreLease {
    std::uint64_t id{}; /*!< Id for renewals and for items that are bound to the lease. */
    Duration timeToLive{}; /*!< Time after which the lease expires unless it is renewed. */
};

/*! @brief Builds requests to the store and decodes its answers; a decoder returns nothing for a malformed answer. */
struct StoreProtocol {
    /*! @brief Lists a page of items; a stale read may lag by seconds but costs the store little. */
    std::function<mesh::Request(std::string_view prefix, std::string_view after, bool allowStale)> list;
    std::function<mesh::Request(std::string_view prefix, std::uint64_t after, Duration wait)> watch;
    std::function<std::optional<StorePage>(const mesh::Answer &answer)> readPage;
    std::function<mesh::Request(Duration timeToLive)> grantLease;
    std::function<mesh::Request(std::uint64_t lease)> renewLease;
    std::function<std::optional<StoreLease>(const mesh::Answer &answer)> readLease;
    std::function<mesh::Request(std::string_view key, std::string_view value, std::uint64_t lease)> put;
    /*! @brief Writes an item only if neither it nor another one exists; otherwise the store answers 412 with those that
     * exist. */
    std::function<mesh::Request(
        std::string_view key, std::string_view other, std::string_view value, std::uint64_t lease)>
        putIfAbsent;
    std::function<std::optional<std::vector<StoreItem>>(const mesh::Answer &answer)> readConflict;
    std::function<mesh::Request(std::string_view key)> remove;
    /*! @brief Writes an item, or removes it if there is no value, only if its revision is still the given one (zero if
     * it does not exist); otherwise the store answers 412 with the existing item. */
    std::function<mesh::Request(std::string_view key, const std::optional<std::string> &value, std::uint64_t revision)>
        replace;
    /*! @brief Reads the revision of a change from its answer. */
    std::function<std::optional<std::uint64_t>(const mesh::Answer &answer)> readRevision;
    /*! @brief Reads how often the store has been replaced by an older copy; revisions of different eras do not compare.
     * Nothing if the answer does not tell. */
    std::function<std::optional<std::uint64_t>(const mesh::Answer &answer)> readEra;
    std::string operatorPrefix; /*!< Prefix of the items that operators write, these two included. */
    std::string configurationKey; /*!< Key under which the store holds the current configuration. */
    std::string evacuationPrefix; /*!< Prefix of the items that name an evacuated failure domain. */
};

/*! @brief Adapter to the platform that a node runs on: its header fields, formats and store API. */
struct Dialect {
    std::function<ClientCall(const mesh::Request &request)> readCall;
    std::function<void(mesh::Request &request, const mesh::HopRequest &hop, Duration remaining)> addForwardingFields;
    std::function<InstanceOutcome(const mesh::Answer &answer)> readOutcome;
    /*! @brief Reads an instance's condition; returns nothing and sets `error` if a value is malformed. */
    std::function<std::optional<InstanceCondition>(const mesh::Answer &answer, std::string &error)> readCondition;
    std::string echoField; /*!< Header field that an answer echoes to identify its request. */
    std::vector<std::string>
        reservedFields; /*!< Header fields that only nodes may set; they are removed from client requests. */
    std::function<std::optional<mesh::Configuration>(std::string_view text, std::string &error)> decodeConfiguration;
    std::function<std::optional<mesh::InstanceReport>(const mesh::Request &request, std::string &error)> readReport;
    std::function<std::optional<mesh::InstanceReport>(const mesh::Answer &answer)> readHealth;
    StoreProtocol store;
};

} // namespace jasminelatch::sidecar

#endif

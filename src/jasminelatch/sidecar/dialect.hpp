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

/*! @brief What a client's request says besides its method, target and body. */
struct ClientCall {
    std::string attemptId; /*!< Id of the client's attempt; empty when it has none. */
    std::string host; /*!< Host that it names. */
    std::optional<Duration> timeLeft; /*!< Time for which the client waits. */
    std::optional<std::string> key; /*!< Key that came with it. */
};

/*! @brief What an instance's answer says besides its content. */
struct InstanceOutcome {
    bool notExecuted{}; /*!< The instance says that it has not run the request. */
    bool wrongInstance{}; /*!< Another instance than the one named has answered. */
};

/*! @brief One item of the store. */
struct StoreItem {
    std::string key; /*!< Its key. */
    std::string value; /*!< Its bytes; empty when it was removed. */
    std::uint64_t revision{}; /*!< Revision of its last change. */
    bool removed{}; /*!< Whether it was removed. */
};

/*! @brief Items or changes, and the revision of the store that they show. */
struct StorePage {
    std::vector<StoreItem> items; /*!< Items or changes in order. */
    std::uint64_t revision{}; /*!< Revision of the store. */
    bool hasMore{}; /*!< Whether another page follows. */
};

/*! @brief Lease as the store granted it. */
struct StoreLease {
    std::uint64_t id{}; /*!< Its id. */
    Duration timeToLive{}; /*!< Time that it lasts without a renewal. */
};

/*! @brief Requests to the store and the reading of their answers. */
struct StoreProtocol {
    /*! @brief Lists a page of items; one that may be seconds old costs the store little. */
    std::function<mesh::Request(std::string_view prefix, std::string_view after, bool allowStale)> list;
    std::function<mesh::Request(std::string_view prefix, std::uint64_t after, Duration wait)> watch;
    std::function<std::optional<StorePage>(const mesh::Answer &answer)> readPage;
    std::function<mesh::Request(Duration timeToLive)> grantLease;
    std::function<mesh::Request(std::uint64_t lease)> renewLease;
    std::function<std::optional<StoreLease>(const mesh::Answer &answer)> readLease;
    std::function<mesh::Request(std::string_view key, std::string_view value, std::uint64_t lease)> put;
    /*! @brief Writes an item that must not be there; else the answer's status is 412 and shows it. */
    std::function<mesh::Request(std::string_view key, std::string_view value, std::uint64_t lease)> putIfAbsent;
    std::function<std::optional<std::vector<StoreItem>>(const mesh::Answer &answer)> readConflict;
    std::function<mesh::Request(std::string_view key)> remove;
    std::string configurationKey; /*!< Key of the newest configuration. */
};

/*! @brief Names, formats and calls of the surroundings that a node runs in. */
struct Dialect {
    std::function<ClientCall(const mesh::Request &request)> readCall;
    std::function<void(mesh::Request &request, const mesh::HopRequest &hop, Duration remaining)> addForwardingFields;
    std::function<InstanceOutcome(const mesh::Answer &answer)> readOutcome;
    std::string echoField; /*!< Field by which an answer names its request. */
    std::vector<std::string> reservedFields; /*!< Fields that only the system sets; clients' ones are dropped. */
    std::function<std::optional<mesh::Configuration>(std::string_view text, std::string &error)> decodeConfiguration;
    std::function<std::optional<mesh::InstanceReport>(const mesh::Request &request, std::string &error)> readReport;
    std::function<std::optional<mesh::InstanceReport>(const mesh::Answer &answer)> readHealth;
    StoreProtocol store;
};

} // namespace jasminelatch::sidecar

#endif

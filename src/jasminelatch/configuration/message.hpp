#ifndef JASMINELATCH_CONFIGURATION_MESSAGE_HPP
#define JASMINELATCH_CONFIGURATION_MESSAGE_HPP

#include "change_set.hpp"

#include <jasminelatch/core/json.hpp>

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminelatch::configuration {

/*! @brief What a node can say about the store from its own calls. */
enum class StoreState : std::uint8_t {
    Unasked, /*!< It has not called the store lately. */
    Reachable, /*!< Its last call was answered. */
    Unreachable /*!< Its last call was not answered. */
};

/*! @brief What a node says about its configuration; travels in answers and in heartbeats. */
struct PeerState {
    Revision revision{}; /*!< Revision in force at it. */
    Duration age{}; /*!< Time since that revision was known to be the newest. */
    StoreState store{StoreState::Unasked}; /*!< Whether the store answers it. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PeerState, revision, age, store)

/*! @brief Asks a node for its state and, if wanted, for what is newer than the asker's revision. */
struct Fetch {
    static constexpr std::string_view type = "configuration.fetch";
    std::uint64_t id{}; /*!< Repeated in the answer. */
    bool wantsChanges{}; /*!< Whether to answer with what is newer; otherwise with the state alone. */
    Revision after{}; /*!< Revision in force at the asker. */
    Revision snapshot{}; /*!< Revision of the snapshot that the asker is reading; zero when it reads none. */
    std::uint32_t part{}; /*!< Part of that snapshot that it wants. */
    bool probe{}; /*!< The store does not answer the asker: the receiver tries it too. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Fetch, id, wantsChanges, after, snapshot, part, probe)

/*! @brief Answer to `Fetch`: the change sets that follow the asker's revision, as many as fit. */
struct Changes {
    static constexpr std::string_view type = "configuration.changes";
    std::uint64_t id{}; /*!< Id of the `Fetch`. */
    PeerState state; /*!< State of the sender. */
    std::vector<ChangeSet> changes; /*!< In order of revision; empty when the asker has them all. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Changes, id, state, changes)

/*! @brief Answer to `Fetch` when the change sets are no longer kept: one part of a snapshot. */
struct Snapshot {
    static constexpr std::string_view type = "configuration.snapshot";
    std::uint64_t id{}; /*!< Id of the `Fetch`. */
    PeerState state; /*!< State of the sender. */
    Revision revision{}; /*!< Revision of the snapshot. */
    std::uint32_t part{}; /*!< Index of this part. */
    std::uint32_t parts{}; /*!< Number of parts. */
    SnapshotPart contents; /*!< The part. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Snapshot, id, state, revision, part, parts, contents)

/*! @brief Any message of this module. */
using Message = std::variant<Fetch, Changes, Snapshot>;

} // namespace jasminelatch::configuration

#endif

#ifndef JASMINELATCH_STORE_REQUEST_HPP
#define JASMINELATCH_STORE_REQUEST_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace jasminelatch::store {

/*! @brief Revision of an entry; it grows with every write to the store. Zero stands for an absent entry. */
using Revision = std::uint64_t;

/*! @brief Entry of the platform's key-value store. */
struct Entry {
    std::string key; /*!< Key; parts are joined by slashes. */
    std::string value; /*!< Value, at most one megabyte. Empty and `revision` zero when absent. */
    Revision revision{}; /*!< Revision of the last write to this key. */
};

/*! @brief Operation on the store. */
enum class Operation : std::uint8_t {
    Get, /*!< Reads `key`. */
    Put, /*!< Compare-and-swap of `key`: writes `value` when its revision equals `expected`. */
    Remove, /*!< Removes `key` when its revision equals `expected`. */
    Watch /*!< Reads entries below the prefix `key` changed after `after`; waits up to `wait` when there are none. */
};

/*! @brief One call to the store. Each costs the platform one call, a waiting watch included. */
struct Request {
    Operation operation{Operation::Get}; /*!< What to do. */
    std::string key; /*!< Key, or prefix for `Watch`. */
    std::string value; /*!< New value for `Put`. */
    Revision expected{}; /*!< Required revision for `Put` and `Remove`; zero requires an absent entry. */
    Revision after{}; /*!< Lower bound for `Watch`, exclusive. */
    Duration wait{}; /*!< Longest wait of `Watch`; zero lists at once. */
    std::optional<Duration> timeToLive; /*!< For `Put`: the entry is removed by the store after this time. */
};

/*! @brief How a call ended. */
enum class Status : std::uint8_t {
    Ok, /*!< Done. */
    Conflict, /*!< The revision differs; `entries` holds the present entry, if any. */
    NotFound, /*!< No such key. */
    Unknown /*!< No answer in time: a write may or may not have taken effect. */
};

/*! @brief Answer of the store. */
struct Answer {
    Status status{Status::Unknown}; /*!< How it ended. */
    std::vector<Entry> entries; /*!< Entry read or written; for `Watch` every entry changed after `after`. */
    std::vector<std::string> removed; /*!< For `Watch`: keys removed after `after`. */
    Revision revision{}; /*!< Revision of the store when it answered. */
};

/*! @brief Receives the answer, exactly once and never from within the call itself. */
using Callback = std::function<void(Answer)>;

/*! @brief Hook through which decisions call the store. */
using Call = std::function<void(Request, Callback)>;

} // namespace jasminelatch::store

#endif

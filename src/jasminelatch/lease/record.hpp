#ifndef JASMINELATCH_LEASE_RECORD_HPP
#define JASMINELATCH_LEASE_RECORD_HPP

#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/store/request.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jasminelatch::lease {

/*! @brief What the store keeps about one right. */
struct Record {
    NodeAddress holder; /*!< Node that has the right; empty after an operator's reclaim. */
    NodeAddress successor; /*!< Only node that may take it over; empty when none is named. */
    std::uint64_t term{}; /*!< Grows with every change of holder. */
    std::uint64_t incarnation{}; /*!< Process of the holder that wrote the record. */
    std::string writeId; /*!< Unique id of the write, to recognise it after a lost answer. */
    bool released{}; /*!< The holder gave the right up: it may be taken at once. */

    auto operator==(const Record &) const -> bool = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Record, holder, successor, term, incarnation, writeId, released)

/**
 * @brief Returns the store key of a right's record.
 * @param right The right.
 * @return Key below `lease/`.
 */
[[nodiscard]] auto recordKey(const LeaseName &right) -> std::string;

/**
 * @brief Reads a record.
 * @param value Value from the store.
 * @return The record; nothing when the value is malformed.
 */
[[nodiscard]] auto parseRecord(std::string_view value) -> std::optional<Record>;

/**
 * @brief Builds an operator's reclaim: the write that frees a right whose holder and successor are gone for good.
 *
 * The operator vouches that both processes are dead; the nodes can't check it.
 * @param entry Record's entry as read.
 * @param writeId Unique id of this write.
 * @return Compare-and-swap against the entry; nothing when the entry is malformed.
 */
[[nodiscard]] auto reclaim(const store::Entry &entry, std::string writeId) -> std::optional<store::Request>;

} // namespace jasminelatch::lease

#endif

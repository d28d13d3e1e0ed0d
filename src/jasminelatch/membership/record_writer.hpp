#ifndef JASMINELATCH_MEMBERSHIP_RECORD_WRITER_HPP
#define JASMINELATCH_MEMBERSHIP_RECORD_WRITER_HPP

#include "cell_record.hpp"
#include "context.hpp"

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace jasminelatch::membership::internal {

/**
 * @brief Keeps the record of one cell in the store equal to the members that its holder knows.
 *
 * It writes only by compare-and-swap against a revision that it has read or written. A write without answer is settled
 * by reading the record; a record that another node wrote is handed over before it is replaced.
 */
class RecordWriter
{
public:
    /*! @brief Receives a record of another node, to be merged before the next write. */
    using Foreign = std::function<void(const CellRecord &)>;

    RecordWriter(const Context &context, LeaseName cell, Foreign foreign);

    /**
     * @brief Reads or writes when it is time to.
     * @param members Members to write; none removes the record.
     * @param urgent Write after the shorter interval.
     */
    auto tick(std::span<const MemberRecord> members, bool urgent) -> void;

    /*! @brief Reads the record again before the next write. */
    auto invalidate() -> void;

    /**
     * @brief Tells whether the record was read at least once.
     * @return True when the members of an earlier record are known.
     */
    [[nodiscard]] auto isLoaded() const -> bool { return loaded_; }

    /**
     * @brief Tells whether the store is known to hold the given members.
     * @param members The members.
     * @return True when no write is under way or due.
     */
    [[nodiscard]] auto isSettled(std::span<const MemberRecord> members) const -> bool;

    /*! @brief Returns the last revision read or written. */
    [[nodiscard]] auto revision() const -> store::Revision { return revision_; }

private:
    enum class Phase : std::uint8_t { Unread, Ready };

    auto read() -> void;
    auto write(std::span<const MemberRecord> members) -> void;
    auto handleRead(const store::Answer &answer) -> void;
    auto handleWrite(const store::Answer &answer, const std::vector<MemberRecord> &members) -> void;
    auto acceptPresent(const store::Answer &answer) -> void;
    auto retryLater() -> void;

    const Context *context_;
    LeaseName cell_;
    Foreign foreign_;
    StoreGate store_;
    Backoff backoff_;
    Phase phase_{Phase::Unread};
    bool busy_{};
    bool invalid_{};
    bool loaded_{};
    store::Revision revision_{};
    std::optional<std::vector<MemberRecord>> written_;
    std::uint64_t version_{};
    TimePoint notBefore_;
    TimePoint lastWrite_;
    bool wroteOnce_{};
};

} // namespace jasminelatch::membership::internal

#endif

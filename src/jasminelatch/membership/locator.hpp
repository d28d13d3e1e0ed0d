#ifndef JASMINELATCH_MEMBERSHIP_LOCATOR_HPP
#define JASMINELATCH_MEMBERSHIP_LOCATOR_HPP

#include "cell_record.hpp"
#include "context.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/store/request.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace jasminelatch::membership::internal {

/**
 * @brief Finds a cell to join and the holder of that cell, through the store.
 *
 * It calls the store only while no holder is heard.
 */
class Locator
{
public:
    explicit Locator(const Context &context);

    /*! @brief Starts to look for a cell. */
    auto start() -> void;

    /**
     * @brief Calls the store when it is time to.
     * @param silent No holder is known, or it is silent.
     */
    auto tick(bool silent) -> void;

    /**
     * @brief Gives up the present cell and looks for another one.
     * @param wasFull The cell refused this node for want of room.
     */
    auto moveOn(bool wasFull) -> void;

    /**
     * @brief Looks the holder up again soon.
     * @param forget The holder left: contend for the cell.
     */
    auto lookUp(bool forget) -> void;

    /*! @brief Believes a node that announced itself as holder. */
    auto setHolder(const NodeAddress &holder) -> void;

    /*! @brief Notes that the holder is heard: contends no longer. */
    auto handleHolderHeard() -> void;

    /*! @brief Returns the cell chosen. */
    [[nodiscard]] auto cell() const -> const std::optional<LeaseName> & { return cell_; }

    /*! @brief Returns the holder found. */
    [[nodiscard]] auto holder() const -> const std::optional<NodeAddress> & { return holder_; }

    /*! @brief Returns how many cells this process has tried to join. */
    [[nodiscard]] auto joins() const -> std::uint64_t { return joins_; }

    /*! @brief Tells whether the store answered since the start. */
    [[nodiscard]] auto storeAnswered() const -> bool { return storeAnswered_; }

    /*! @brief Tells whether the last store call was answered. */
    [[nodiscard]] auto isStoreUp() const -> bool { return storeUp_; }

private:
    auto list() -> void;
    auto handleList(const store::Answer &answer) -> void;
    auto choose(const std::vector<store::Entry> &entries) -> std::size_t;
    auto readLease() -> void;
    auto handleLease(const store::Answer &answer) -> void;
    auto contend() -> void;
    auto noteAnswer(const store::Answer &answer) -> bool;
    [[nodiscard]] auto jitter(Duration limit) -> Duration;

    const Context *context_;
    StoreGate store_;
    Backoff backoff_;
    std::mt19937_64 random_;
    bool busy_{};
    bool listing_{};
    bool contending_{};
    bool storeAnswered_{};
    bool storeUp_{};
    std::uint64_t joins_{};
    std::uint64_t refusals_{};
    std::optional<LeaseName> cell_;
    std::optional<NodeAddress> holder_;
    std::set<std::size_t> excluded_;
    TimePoint notBefore_;
};

} // namespace jasminelatch::membership::internal

#endif

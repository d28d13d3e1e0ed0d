#ifndef JASMINELATCH_SIDECAR_BYTE_BUDGET_HPP
#define JASMINELATCH_SIDECAR_BYTE_BUDGET_HPP

#include <cstddef>
#include <utility>

namespace jasminelatch::sidecar {

/**
 * @brief Bounds the bytes of partly received messages that all connections of a node buffer together.
 *
 * Protects a VM with little memory from instances or clients that send endless bodies, several of them at once.
 */
class ByteBudget
{
public:
    /**
     * @brief Makes a budget.
     * @param limit Largest number of buffered bytes.
     */
    explicit ByteBudget(const std::size_t limit)
        : limit_{limit}
    {
    }

    /**
     * @brief Updates the reservation of one connection.
     * @param before Bytes reserved so far.
     * @param after Bytes reserved from now on.
     * @return False if the reservation grows and the sum exceeds the limit; it is counted either way.
     */
    [[nodiscard]] auto update(const std::size_t before, const std::size_t after) -> bool
    {
        used_ = used_ - before + after;
        return after <= before || used_ <= limit_;
    }

    /*! @brief Returns the sum of all reservations in bytes. */
    [[nodiscard]] auto used() const -> std::size_t { return used_; }

private:
    std::size_t limit_;
    std::size_t used_{};
};

/**
 * @brief Reservation of one connection in a `ByteBudget`; the destructor releases it.
 */
class ByteReservation
{
public:
    /**
     * @brief Makes an empty reservation.
     * @param budget Budget that outlives the reservation; null for no limit.
     */
    explicit ByteReservation(ByteBudget *const budget)
        : budget_{budget}
    {
    }

    ByteReservation(const ByteReservation &) = delete;
    auto operator=(const ByteReservation &) -> ByteReservation & = delete;
    ~ByteReservation() { release(); }

    /**
     * @brief Sets the size of the reservation.
     * @param bytes New size.
     * @return False if it grows and the budget is exceeded; it is counted either way.
     */
    [[nodiscard]] auto resize(const std::size_t bytes) -> bool
    {
        const auto before = std::exchange(bytes_, bytes);
        return budget_ == nullptr || before == bytes || budget_->update(before, bytes);
    }

    /*! @brief Sets the size to zero. */
    auto release() -> void { static_cast<void>(resize(0)); }

private:
    ByteBudget *budget_;
    std::size_t bytes_{};
};

} // namespace jasminelatch::sidecar

#endif

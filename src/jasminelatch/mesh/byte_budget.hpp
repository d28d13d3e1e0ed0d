#ifndef JASMINELATCH_MESH_BYTE_BUDGET_HPP
#define JASMINELATCH_MESH_BYTE_BUDGET_HPP

#include <cstddef>
#include <utility>

namespace jasminelatch::mesh {

/**
 * @brief Bounds the bytes of messages that all connections of a node hold together.
 *
 * Load pattern: many clients send or request large bodies at once and stop before the end, or read slowly, on a VM with
 * little memory. A part of the budget is reserved for small messages, so that they pass while large ones fill the rest.
 */
class ByteBudget
{
public:
    /*! @brief Size up to which a message counts as small. */
    static constexpr std::size_t smallBytes = 65536;

    /**
     * @brief Makes a budget.
     * @param limit Largest number of bytes.
     * @param reserve Part of them that only small messages may use.
     */
    explicit ByteBudget(const std::size_t limit, const std::size_t reserve = 0)
        : limit_{limit}
        , reserve_{reserve}
    {
    }

    /**
     * @brief Updates the reservation of one message.
     * @param before Bytes reserved so far.
     * @param after Bytes reserved from now on.
     * @return False if the reservation grows and the sum exceeds the limit; it is counted either way.
     */
    [[nodiscard]] auto update(const std::size_t before, const std::size_t after) -> bool
    {
        used_ = used_ - before + after;
        return after <= before || used_ <= limitFor(after);
    }

    /**
     * @brief Checks whether a reservation could grow now.
     * @param before Bytes reserved so far.
     * @param after Bytes wanted.
     */
    [[nodiscard]] auto fits(const std::size_t before, const std::size_t after) const -> bool
    {
        return after <= before || used_ - before + after <= limitFor(after);
    }

    /*! @brief Returns the size of the largest message that fits while there is no other. */
    [[nodiscard]] auto largest() const -> std::size_t { return limit_ - reserve_; }

    /*! @brief Returns the sum of all reservations in bytes. */
    [[nodiscard]] auto used() const -> std::size_t { return used_; }

private:
    [[nodiscard]] auto limitFor(const std::size_t bytes) const -> std::size_t
    {
        return bytes <= smallBytes ? limit_ : largest();
    }

    std::size_t limit_;
    std::size_t reserve_;
    std::size_t used_{};
};

/**
 * @brief Reservation of one message in a `ByteBudget`; the destructor releases it.
 */
class ByteReservation
{
public:
    /*! @brief Makes an empty reservation without a budget. */
    ByteReservation() = default;

    /**
     * @brief Makes an empty reservation.
     * @param budget Budget that outlives the reservation; null for no limit.
     */
    explicit ByteReservation(ByteBudget *const budget)
        : budget_{budget}
    {
    }

    ByteReservation(ByteReservation &&other) noexcept
        : budget_{other.budget_}
        , bytes_{std::exchange(other.bytes_, 0)}
    {
    }

    auto operator=(ByteReservation &&other) noexcept -> ByteReservation &
    {
        if (this != &other) {
            release();
            budget_ = other.budget_;
            bytes_ = std::exchange(other.bytes_, 0);
        }
        return *this;
    }

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

    /**
     * @brief Grows the reservation if the budget has room.
     * @param bytes New size; a smaller one than the present size changes nothing.
     * @return False if there is no room; the size is unchanged then.
     */
    [[nodiscard]] auto tryGrow(const std::size_t bytes) -> bool
    {
        if (bytes <= bytes_) {
            return true;
        }
        return (budget_ == nullptr || budget_->fits(bytes_, bytes)) && resize(bytes);
    }

    /*! @brief Tells whether a message of a size can ever fit. */
    [[nodiscard]] auto canEverFit(const std::size_t bytes) const -> bool
    {
        return budget_ == nullptr || bytes <= budget_->largest();
    }

    /*! @brief Sets the size to zero. */
    auto release() -> void { static_cast<void>(resize(0)); }

private:
    ByteBudget *budget_{};
    std::size_t bytes_{};
};

} // namespace jasminelatch::mesh

#endif

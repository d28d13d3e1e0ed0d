#ifndef JASMINELATCH_SIDECAR_BYTE_BUDGET_HPP
#define JASMINELATCH_SIDECAR_BYTE_BUDGET_HPP

#include <cstddef>
#include <utility>

namespace jasminelatch::sidecar {

/**
 * @brief Bound on the bytes that all connections of a node together hold of messages which are still coming in.
 *
 * Load pattern: instances or clients send bodies without end, some at once, on a VM with little memory.
 */
class ByteBudget
{
public:
    /**
     * @brief Makes a budget.
     * @param limit Bytes held at once.
     */
    explicit ByteBudget(const std::size_t limit)
        : limit_{limit}
    {
    }

    /**
     * @brief Changes what one connection holds.
     * @param before Bytes that it held.
     * @param after Bytes that it holds now.
     * @return Whether the budget allows it; what is held is counted either way.
     */
    [[nodiscard]] auto change(const std::size_t before, const std::size_t after) -> bool
    {
        used_ = used_ - before + after;
        return after <= before || used_ <= limit_;
    }

    /*! @brief Returns the bytes held. */
    [[nodiscard]] auto used() const -> std::size_t { return used_; }

private:
    std::size_t limit_;
    std::size_t used_{};
};

/**
 * @brief What one connection holds out of a budget; gives it back at its end.
 */
class ByteReservation
{
public:
    /**
     * @brief Holds nothing yet.
     * @param budget The budget, which outlives this; null for none.
     */
    explicit ByteReservation(ByteBudget *const budget)
        : budget_{budget}
    {
    }

    ByteReservation(const ByteReservation &) = delete;
    auto operator=(const ByteReservation &) -> ByteReservation & = delete;
    ~ByteReservation() { release(); }

    /**
     * @brief Sets how much is held.
     * @param bytes Bytes held now.
     * @return Whether the budget allows it; it is counted either way.
     */
    [[nodiscard]] auto change(const std::size_t bytes) -> bool
    {
        const auto before = std::exchange(bytes_, bytes);
        return budget_ == nullptr || before == bytes || budget_->change(before, bytes);
    }

    /*! @brief Gives everything back. */
    auto release() -> void { static_cast<void>(change(0)); }

private:
    ByteBudget *budget_;
    std::size_t bytes_{};
};

} // namespace jasminelatch::sidecar

#endif

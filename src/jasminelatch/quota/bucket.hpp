#ifndef JASMINELATCH_QUOTA_BUCKET_HPP
#define JASMINELATCH_QUOTA_BUCKET_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstdint>
#include <optional>

namespace jasminelatch::quota::internal {

/**
 * @brief Token bucket whose level and outstanding loans together stay within its depth.
 *
 * Outstanding tokens may still be spent by a borrower, so they take up room. When a borrower reports that tokens were
 * spent some time ago, the accrual that they held up since then is made good.
 */
class Bucket
{
public:
    /**
     * @brief Makes an empty bucket.
     * @param rate Tokens per second on the holder's clock.
     * @param depth Largest sum of level and outstanding tokens.
     * @param start Time at which accrual begins; it may lie in the past or in the future.
     */
    Bucket(double rate, double depth, TimePoint start);

    /**
     * @brief Changes the limits from now on.
     * @param rate Tokens per second.
     * @param depth Largest sum of level and outstanding tokens.
     * @param now Present time.
     */
    auto setLimits(double rate, double depth, TimePoint now) -> void;

    /**
     * @brief Stops accrual until a time in the future.
     * @param start Time at which accrual begins again.
     * @param now Present time.
     */
    auto holdUntil(TimePoint start, TimePoint now) -> void;

    /**
     * @brief Turns whole tokens of the level into an outstanding loan.
     * @param wanted Tokens wanted.
     * @param now Present time.
     * @return Tokens lent.
     */
    auto lend(std::uint32_t wanted, TimePoint now) -> std::uint32_t;

    /**
     * @brief Takes tokens that were spent off the outstanding ones.
     * @param tokens Tokens spent, at most the outstanding ones.
     * @param latest Time by which they were spent for certain.
     * @param now Present time.
     */
    auto settleSpent(std::uint32_t tokens, TimePoint latest, TimePoint now) -> void;

    /**
     * @brief Moves outstanding tokens that nobody will spend back into the level.
     * @param tokens Tokens returned, at most the outstanding ones.
     * @param now Present time.
     */
    auto giveBack(std::uint32_t tokens, TimePoint now) -> void;

    /**
     * @brief Drops outstanding tokens whose fate is unknown but which can be spent no more.
     * @param tokens Tokens dropped, at most the outstanding ones.
     * @param now Present time.
     */
    auto expire(std::uint32_t tokens, TimePoint now) -> void;

    /**
     * @brief Returns the level.
     * @param now Present time.
     * @return Tokens that can be lent, with their fraction.
     */
    [[nodiscard]] auto level(TimePoint now) -> double;

private:
    auto accrue(TimePoint now) -> void;

    double rate_;
    double depth_;
    double level_{};
    double outstanding_{};
    TimePoint updated_;
    std::optional<TimePoint> fullSince_;
};

} // namespace jasminelatch::quota::internal

#endif

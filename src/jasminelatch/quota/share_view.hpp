#ifndef JASMINELATCH_QUOTA_SHARE_VIEW_HPP
#define JASMINELATCH_QUOTA_SHARE_VIEW_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstdint>

namespace jasminelatch::quota::internal {

/**
 * @brief What a borrower knows of one share of one account: its likely level and when to ask again.
 */
class ShareView
{
public:
    /**
     * @brief Puts the limits of the share in force.
     * @param rate Tokens per second.
     * @param burst Bucket depth, in tokens.
     */
    auto setLimits(double rate, double burst) -> void;

    /**
     * @brief Notes an answer.
     * @param wanted Tokens that were wanted.
     * @param tokens Tokens that were lent.
     * @param level Tokens left at the holder.
     * @param now Present time.
     */
    auto onGrant(std::uint32_t wanted, std::uint32_t tokens, double level, TimePoint now) -> void;

    /**
     * @brief Notes that an ask went unanswered or reached a node that does not hold the share.
     * @param now Present time.
     */
    auto onFailure(TimePoint now) -> void;

    /**
     * @brief Returns the level that the share probably has.
     * @param now Present time.
     * @return Tokens; half the burst while nothing is known.
     */
    [[nodiscard]] auto likelyLevel(TimePoint now) const -> double;

    /**
     * @brief Tells whether asking is allowed.
     * @param now Present time.
     * @return True when no earlier refusal or failure is too recent.
     */
    [[nodiscard]] auto mayAsk(TimePoint now) const -> bool { return now >= notBefore_; }

    /**
     * @brief Returns the time until asking is worth a message.
     * @param now Present time.
     * @return Length of time, zero when it is so already.
     */
    [[nodiscard]] auto timeUntilWorthAsking(TimePoint now) const -> Duration;

    /**
     * @brief Tells whether the last ask failed.
     * @return True from a failure until the next answer.
     */
    [[nodiscard]] auto failing() const noexcept -> bool { return failures_ > 0; }

private:
    [[nodiscard]] auto timeToToken(double level) const -> Duration;

    double rate_{};
    double burst_{};
    double level_{};
    TimePoint updated_;
    TimePoint notBefore_;
    bool known_{};
    std::uint32_t shortfalls_{};
    std::uint32_t failures_{};
};

} // namespace jasminelatch::quota::internal

#endif

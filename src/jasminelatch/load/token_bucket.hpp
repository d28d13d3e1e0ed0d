#ifndef JASMINELATCH_LOAD_TOKEN_BUCKET_HPP
#define JASMINELATCH_LOAD_TOKEN_BUCKET_HPP

#include <jasminelatch/core/clock.hpp>

#include <algorithm>

namespace jasminelatch::load {

/**
 * @brief Token bucket that tells which requests of one account are within its rate; it starts full.
 */
class TokenBucket
{
public:
    /**
     * @brief Makes a full bucket.
     * @param rate Tokens per second.
     * @param burst Depth.
     */
    TokenBucket(const double rate, const double burst)
        : rate_{rate}
        , burst_{burst}
        , tokens_{burst}
    {
    }

    /**
     * @brief Takes a token if there is one.
     * @param at Time after the start of the run; never goes back.
     * @return True when the request is within the rate.
     */
    [[nodiscard]] auto take(const Duration at) -> bool
    {
        tokens_ = std::min(burst_, tokens_ + rate_ * std::chrono::duration<double>{at - at_}.count());
        at_ = at;
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    double rate_;
    double burst_;
    double tokens_;
    Duration at_{};
};

} // namespace jasminelatch::load

#endif

#ifndef JASMINELATCH_MEMBERSHIP_CONTEXT_HPP
#define JASMINELATCH_MEMBERSHIP_CONTEXT_HPP

#include "hooks.hpp"
#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/core/identifier.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace jasminelatch::membership::internal {

/*! @brief What all parts of one controller share. */
struct Context {
    Settings settings; /*!< Sizes and times. */
    NodeAddress self; /*!< Address of this node. */
    FailureDomain domain; /*!< Failure domain of this node. */
    std::uint64_t incarnation{}; /*!< Incarnation of this process. */
    const Clock *clock{}; /*!< Clock of the runtime. */
    Counters *counters{}; /*!< Event counters. */
    Hooks hooks; /*!< Ways to the outside. */

    [[nodiscard]] auto now() const -> TimePoint { return clock->now(); }
    auto count(const std::string_view name) const -> void { counters->add(name); }
    [[nodiscard]] auto attachment() const -> std::string { return hooks.attachment ? hooks.attachment() : ""; }
};

/*! @brief Calls the store and drops the answers that come after its own end. */
class StoreGate
{
public:
    using Handler = std::function<void(const store::Answer &)>;

    explicit StoreGate(const Context &context)
        : context_{&context}
        , token_{std::make_shared<char>()}
    {
    }

    /**
     * @brief Calls the store.
     * @param request The call.
     * @param handler Receives the answer while the gate exists.
     */
    auto call(store::Request request, Handler handler) const -> void
    {
        context_->hooks.store(
            std::move(request),
            [token = std::weak_ptr<char>{token_}, handler = std::move(handler)](const store::Answer &answer) {
                if (!token.expired()) {
                    handler(answer);
                }
            });
    }

private:
    const Context *context_;
    std::shared_ptr<char> token_;
};

/*! @brief Growing delay between tries of a store call. */
class Backoff
{
public:
    explicit Backoff(const Settings &settings)
        : first_{settings.storeRetry}
        , limit_{settings.storeRetryLimit}
        , next_{first_}
    {
    }

    /*! @brief Returns the delay before the next try and doubles the one after. */
    auto take() -> Duration { return std::exchange(next_, std::min(next_ * 2, limit_)); }

    /*! @brief Starts over with the first delay. */
    auto reset() -> void { next_ = first_; }

private:
    Duration first_;
    Duration limit_;
    Duration next_;
};

} // namespace jasminelatch::membership::internal

#endif

#ifndef JASMINELATCH_MEMBERSHIP_FLEET_WATCH_HPP
#define JASMINELATCH_MEMBERSHIP_FLEET_WATCH_HPP

#include "context.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/store/request.hpp>

#include <functional>

namespace jasminelatch::membership::internal {

/*! @brief Follows all cell records with one waiting watch. */
class FleetWatch
{
public:
    /*! @brief Receives what changed. */
    using Changed = std::function<void(const store::Answer &)>;
    /*! @brief Called when the store did not answer. */
    using Failed = std::function<void()>;

    FleetWatch(const Context &context, Changed changed, Failed failed);

    /*! @brief Arms the watch again when it is time to. */
    auto tick() -> void;

    /**
     * @brief Tells whether all cell records were listed once.
     * @return True after the first answer.
     */
    [[nodiscard]] auto isLoaded() const -> bool { return loaded_; }

private:
    auto handle(const store::Answer &answer) -> void;

    const Context *context_;
    Changed changed_;
    Failed failed_;
    StoreGate store_;
    Backoff backoff_;
    bool busy_{};
    bool loaded_{};
    store::Revision after_{};
    TimePoint notBefore_;
};

} // namespace jasminelatch::membership::internal

#endif

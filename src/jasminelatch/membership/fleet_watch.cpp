#include "fleet_watch.hpp"

#include "cell_record.hpp"

#include <utility>

namespace jasminelatch::membership::internal {

FleetWatch::FleetWatch(const Context &context, Changed changed, Failed failed)
    : context_{&context}
    , changed_{std::move(changed)}
    , failed_{std::move(failed)}
    , store_{context}
    , backoff_{context.settings}
    , notBefore_{context.now()}
{
}

auto FleetWatch::tick() -> void
{
    if (busy_ || context_->now() < notBefore_) {
        return;
    }
    busy_ = true;
    const auto wait = loaded_ ? context_->settings.watchWait : Duration::zero();
    store_.call({.operation = store::Operation::Watch, .key = std::string{cellPrefix}, .after = after_, .wait = wait},
                [this](const store::Answer &answer) { handle(answer); });
}

auto FleetWatch::handle(const store::Answer &answer) -> void
{
    busy_ = false;
    if (answer.status != store::Status::Ok) {
        context_->count("membership.watch_unanswered");
        notBefore_ = context_->now() + backoff_.take();
        failed_();
        return;
    }
    backoff_.reset();
    notBefore_ = context_->now() + context_->settings.watchInterval;
    loaded_ = true;
    after_ = answer.revision;
    changed_(answer);
}

} // namespace jasminelatch::membership::internal

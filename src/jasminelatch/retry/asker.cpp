#include "asker.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace jasminelatch::retry {

namespace internal {

/*! @brief Tells whether a retry counts against the service's share: an instance that leaves has done no work. */
auto chargesShare(const Reason reason) -> bool
{
    return reason != Reason::LeavingNotRun;
}

} // namespace internal

Asker::Asker(const Settings &settings,
             NodeAddress self,
             const std::uint64_t incarnation,
             const Clock &clock,
             Counters &counters,
             Hooks hooks)
    : settings_{settings}
    , self_{std::move(self)}
    , incarnation_{incarnation}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
    , share_{settings}
{
}

auto Asker::dispatched(const ServiceName &service) -> void
{
    share_.dispatched(service, clock_->now());
}

auto Asker::ask(const Need &need, Callback callback) -> void
{
    counters_->add(std::string{"retry.wanted_"}.append(toString(need.reason)));
    if (settings_.mode == Mode::CopiedBudget) {
        callback(need.retriesMade < settings_.copiedLimit);
        return;
    }
    const auto charged = internal::chargesShare(need.reason);
    if (charged && !share_.take(need.service, clock_->now())) {
        finish(need.service, false, Verdict::ServiceShare, callback);
        return;
    }
    const Ask ask{{incarnation_, nextAsk_++}, need.request, need.reason};
    if (need.ledger == self_) {
        finish(need.service, charged, hooks_.decideLocally(ask), callback);
        return;
    }
    const auto deadline = clock_->now() + std::min(settings_.answerTimeout, need.remaining);
    open_.emplace(ask.id.number, OpenAsk{need.ledger, need.service, charged, deadline, std::move(callback)});
    hooks_.send(need.ledger, ask);
}

auto Asker::receive(const NodeAddress &from, const Message &message) -> void
{
    const auto *const grant = std::get_if<Grant>(&message);
    if (grant == nullptr) {
        return;
    }
    const auto position = open_.find(grant->id.number);
    const auto expected = position != open_.end() && position->second.ledger == from;
    if (!expected || grant->id.incarnation != incarnation_) {
        counters_->add("retry.grant_ignored");
        return;
    }
    const auto ask = std::move(position->second);
    open_.erase(position);
    const auto late = clock_->now() >= ask.deadline;
    finish(ask.service, ask.charged, late ? Verdict::NoAnswer : grant->verdict, ask.callback);
}

auto Asker::tick() -> void
{
    const auto now = clock_->now();
    std::vector<OpenAsk> late;
    for (auto &[number, ask] : open_) {
        if (now >= ask.deadline) {
            late.push_back(std::move(ask));
        }
    }
    std::erase_if(open_, [&](const auto &entry) { return now >= entry.second.deadline; });
    for (const auto &ask : late) {
        finish(ask.service, ask.charged, Verdict::NoAnswer, ask.callback);
    }
}

auto Asker::finish(const ServiceName &service, const bool charged, const Verdict verdict, const Callback &callback)
    -> void
{
    const auto granted = verdict == Verdict::Granted;
    if (!granted && charged) {
        share_.giveBack(service);
    }
    counters_->add(std::string{granted ? "retry." : "retry.refused_"}.append(toString(verdict)));
    callback(granted);
}

} // namespace jasminelatch::retry

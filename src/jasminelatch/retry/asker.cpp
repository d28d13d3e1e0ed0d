#include "asker.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace jasminelatch::retry {

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
    if (!share_.take(need.service, clock_->now())) {
        finish(need.service, Verdict::ServiceShare, callback);
        return;
    }
    const Ask ask{{incarnation_, nextAsk_++}, need.request, need.reason};
    if (need.ledger == self_) {
        finish(need.service, hooks_.decideLocally(ask), callback);
        return;
    }
    const auto deadline = clock_->now() + std::min(settings_.answerTimeout, need.remaining);
    open_.emplace(ask.id.number, OpenAsk{need.ledger, need.service, deadline, std::move(callback)});
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
    finish(ask.service, late ? Verdict::NoAnswer : grant->verdict, ask.callback);
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
        finish(ask.service, Verdict::NoAnswer, ask.callback);
    }
}

auto Asker::finish(const ServiceName &service, const Verdict verdict, const Callback &callback) -> void
{
    const auto granted = verdict == Verdict::Granted;
    if (!granted && verdict != Verdict::ServiceShare) {
        share_.giveBack(service);
    }
    counters_->add(std::string{granted ? "retry." : "retry.refused_"}.append(toString(verdict)));
    callback(granted);
}

} // namespace jasminelatch::retry

#include "ledger.hpp"

#include <string>
#include <utility>

namespace jasminelatch::retry {

Ledger::Ledger(const Clock &clock, Counters &counters, Hooks hooks)
    : clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
{
}

auto Ledger::open(const RequestId &request, const std::uint32_t limit, const Duration lifetime) -> bool
{
    const auto deadline = clock_->now() + lifetime;
    const auto isNew = entries_.try_emplace(request, Entry{.limit = limit, .deadline = deadline}).second;
    if (isNew) {
        deadlines_.emplace(deadline, request);
    }
    return isNew;
}

auto Ledger::close(const RequestId &request) -> void
{
    const auto position = entries_.find(request);
    if (position != entries_.end()) {
        position->second.closed = true;
    }
}

auto Ledger::decide(const Ask &ask) -> Verdict
{
    const auto verdict = verdictOf(ask);
    counters_->add(std::string{"retry.ledger_"}.append(toString(verdict)));
    return verdict;
}

auto Ledger::receive(const NodeAddress &from, const Message &message) -> void
{
    if (const auto *const ask = std::get_if<Ask>(&message)) {
        hooks_.send(from, Grant{ask->id, decide(*ask)});
    }
}

auto Ledger::tick() -> void
{
    const auto now = clock_->now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
        entries_.erase(deadlines_.begin()->second);
        deadlines_.erase(deadlines_.begin());
    }
}

auto Ledger::verdictOf(const Ask &ask) -> Verdict
{
    const auto position = entries_.find(ask.request);
    if (position == entries_.end()) {
        return Verdict::UnknownRequest;
    }
    auto &entry = position->second;
    if (entry.closed || clock_->now() >= entry.deadline) {
        return Verdict::Closed;
    }
    if (entry.granted.contains(ask.id)) {
        return Verdict::Granted;
    }
    if (entry.granted.size() >= entry.limit) {
        return Verdict::Limit;
    }
    entry.granted.insert(ask.id);
    return Verdict::Granted;
}

} // namespace jasminelatch::retry

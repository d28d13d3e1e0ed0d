#include "pusher.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::membership::internal {

constexpr std::uint32_t pushLimit = 4; // Messages for one change.

Pusher::Pusher(const Context &context)
    : context_{&context}
    , nextPush_{context.now()}
{
}

auto Pusher::add(const FleetChanges &changes, const Cell &cell) -> void
{
    for (const auto &[node, member] : cell.members()) {
        if (node == context_->self || member.self == 0) {
            continue;
        }
        Debt added{.directory = changes.directory};
        for (const auto &service : changes.services) {
            if (std::ranges::binary_search(member.services, service)) {
                added.services.insert(service);
            }
        }
        if (added.services.empty() && !added.directory) {
            continue;
        }
        auto &debt = debts_[node];
        debt.services.merge(added.services);
        debt.directory = debt.directory || added.directory;
        debt.sent = 0;
        debt.due = context_->now();
    }
}

auto Pusher::tick(const Fleet &fleet, std::uint64_t &sequence) -> void
{
    const auto now = context_->now();
    if (now < nextPush_ || debts_.empty()) {
        return;
    }
    nextPush_ = now + context_->settings.pushInterval;
    for (auto &[node, debt] : debts_) {
        if (now < debt.due) {
            continue;
        }
        ++debt.sent;
        debt.due = now + context_->settings.pushRepeatInterval;
        send(node, debt, fleet, sequence);
    }
    std::erase_if(debts_, [](const auto &entry) { return entry.second.sent >= pushLimit; });
}

auto Pusher::send(const NodeAddress &node, const Debt &debt, const Fleet &fleet, std::uint64_t &sequence) const -> void
{
    Push message{context_->incarnation, ++sequence, context_->attachment(), {}};
    for (const auto &service : debt.services) {
        const auto endpoints = fleet.endpoints(service);
        message.changes.services.push_back({service, fleet.version(service), {endpoints.begin(), endpoints.end()}});
    }
    if (debt.directory) {
        message.changes.directory = fleet.directory();
    }
    context_->hooks.send(node, std::move(message));
}

} // namespace jasminelatch::membership::internal

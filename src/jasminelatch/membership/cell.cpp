#include "cell.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace jasminelatch::membership::internal {

Cell::Cell(const Context &context, LeaseName name)
    : context_{&context}
    , name_{std::move(name)}
{
}

auto Cell::hear(const NodeAddress &from, const Heartbeat &heartbeat) -> HeartbeatResult
{
    if (isDeparted(from, heartbeat.incarnation)) {
        return HeartbeatResult::Stale;
    }
    if (heartbeat.report && heartbeat.report->cell != name_) {
        return HeartbeatResult::WrongCell;
    }
    const auto position = members_.find(from);
    if (position == members_.end()) {
        return admit(from, heartbeat);
    }
    auto &member = position->second;
    const auto incarnation = member.record.incarnation;
    if (heartbeat.incarnation < incarnation) {
        return HeartbeatResult::Stale;
    }
    if (heartbeat.incarnation == incarnation && heartbeat.sequence <= member.sequence) {
        return HeartbeatResult::Stale;
    }
    if (heartbeat.incarnation > incarnation && !heartbeat.report) {
        return HeartbeatResult::NeedsReport;
    }
    update(member, heartbeat);
    return HeartbeatResult::Accepted;
}

auto Cell::admit(const NodeAddress &from, const Heartbeat &heartbeat) -> HeartbeatResult
{
    if (members_.size() >= context_->settings.cellSize) {
        return HeartbeatResult::Full;
    }
    if (!heartbeat.report) {
        return HeartbeatResult::NeedsReport;
    }
    context_->count("membership.member_joined");
    ++changes_;
    update(members_[from], heartbeat);
    return HeartbeatResult::Accepted;
}

auto Cell::update(CellMember &member, const Heartbeat &heartbeat) -> void
{
    member.heard = std::max(member.heard, context_->now());
    member.sequence = heartbeat.sequence;
    if (!heartbeat.report) {
        return;
    }
    const auto &report = *heartbeat.report;
    const MemberRecord record{report.endpoint, heartbeat.incarnation, report.joins, report.rights};
    member.self = heartbeat.self;
    member.services.clear();
    for (const auto &entry : report.services) {
        member.services.push_back(entry.service);
    }
    if (member.record != record) {
        member.record = record;
        ++changes_;
    }
}

auto Cell::depart(const NodeAddress &node, const std::uint64_t incarnation) -> bool
{
    const auto position = members_.find(node);
    if (position != members_.end() && position->second.record.incarnation > incarnation) {
        return false;
    }
    departures_[node] = {incarnation, context_->now()};
    if (position == members_.end()) {
        return false;
    }
    members_.erase(position);
    ++changes_;
    return true;
}

auto Cell::setSelf(const MemberRecord &record) -> void
{
    auto &member = members_[context_->self];
    member.heard = context_->now();
    if (member.record != record) {
        member.record = record;
        ++changes_;
    }
}

auto Cell::merge(const CellRecord &record, const TimePoint since) -> std::vector<NodeAddress>
{
    const auto &settings = context_->settings;
    const auto now = context_->now();
    std::set<NodeAddress> listed;
    std::vector<NodeAddress> added;
    for (const auto &found : record.members) {
        const auto &node = found.endpoint.node;
        listed.insert(node);
        if (node == context_->self || members_.contains(node) || isDeparted(node, found.incarnation)) {
            continue;
        }
        // The former holder most likely died: it gets half the time.
        const auto grace = node == record.holder ? settings.takeOverGrace / 2 : settings.takeOverGrace;
        members_[node] = {.record = found, .heard = now + grace - settings.memberTimeout};
        added.push_back(node);
        ++changes_;
    }
    const auto removed = std::erase_if(members_, [&](const auto &entry) {
        return entry.first != context_->self && !listed.contains(entry.first) && entry.second.heard < since;
    });
    changes_ += removed;
    return added;
}

auto Cell::excuse() -> void
{
    const auto &settings = context_->settings;
    const auto heard = context_->now() + settings.takeOverGrace - settings.memberTimeout;
    for (auto &[node, member] : members_) {
        member.heard = heard;
    }
}

auto Cell::skip(const Duration pause) -> void
{
    for (auto &[node, member] : members_) {
        member.heard += pause;
    }
}

auto Cell::expire() -> void
{
    const auto now = context_->now();
    const auto limit = silenceLimit(now);
    const auto removed = std::erase_if(
        members_, [&](const auto &entry) { return entry.first != context_->self && now - entry.second.heard > limit; });
    if (removed > 0) {
        context_->counters->add("membership.member_dropped", removed);
        changes_ += removed;
    }
    forgetDepartures(now);
}

auto Cell::silenceLimit(const TimePoint now) const -> Duration
{
    // Most members falling silent together points to this node's own connections: keep them listed for longer.
    const auto &settings = context_->settings;
    const auto suspect = settings.memberTimeout - settings.heartbeatInterval;
    std::size_t silent = 0;
    std::size_t others = 0;
    for (const auto &[node, member] : members_) {
        if (node == context_->self) {
            continue;
        }
        ++others;
        silent += now - member.heard > suspect ? 1U : 0U;
    }
    const auto most = silent >= 2 && silent * 2 > others;
    return most ? settings.massTimeout : settings.memberTimeout;
}

auto Cell::find(const NodeAddress &node) const -> const CellMember *
{
    const auto position = members_.find(node);
    return position == members_.end() ? nullptr : &position->second;
}

auto Cell::records() const -> std::vector<MemberRecord>
{
    std::vector<MemberRecord> records;
    records.reserve(members_.size());
    for (const auto &[node, member] : members_) {
        records.push_back(member.record);
    }
    return records;
}

auto Cell::isDeparted(const NodeAddress &node, const std::uint64_t incarnation) const -> bool
{
    const auto position = departures_.find(node);
    return position != departures_.end() && incarnation <= position->second.incarnation;
}

auto Cell::forgetDepartures(const TimePoint now) -> void
{
    const auto memory = context_->settings.departureMemory;
    std::erase_if(departures_, [&](const auto &entry) { return now - entry.second.at > memory; });
}

} // namespace jasminelatch::membership::internal

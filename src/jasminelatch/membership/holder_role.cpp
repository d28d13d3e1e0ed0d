#include "holder_role.hpp"

#include "hash.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace jasminelatch::membership::internal {

HolderRole::HolderRole(const Context &context, LeaseName cell)
    : context_{&context}
    , name_{std::move(cell)}
    , cell_{context, name_}
    , assigner_{context}
    , writer_{context,
              name_,
              [this](const CellRecord &record) {
                  mergeRecord(record);
              }}
    , watch_{context,
             [this](const store::Answer &answer) { handleWatch(answer); },
             [this] {
                 inspector_.handleStoreFailure();
             }}
    , inspector_{context, name_}
    , pusher_{context}
    , since_{context.now()}
{
    LOG(INFO) << "membership: holds cell " << name_;
    context.count("membership.cell_held");
}

auto HolderRole::tick(const std::optional<MemberRecord> &self) -> void
{
    if (self) {
        const auto before = cell_.changeCount();
        cell_.setSelf(*self);
        noteDrain(before, self->endpoint);
    } else if (cell_.depart(context_->self, context_->incarnation)) {
        urgent_ = true;
    }
    cell_.expire();
    watch_.tick();
    const auto members = cell_.records();
    writer_.tick(members, urgent_);
    urgent_ = urgent_ && !writer_.isSettled(members);
    refreshFleet();
    if (isReady()) {
        assigner_.tick(fleet_);
        inspector_.tick(fleet_);
    }
    pusher_.tick(fleet_, sequence_);
}

auto HolderRole::resume() -> void
{
    since_ = context_->now();
    cell_.excuse();
    writer_.invalidate();
    inspector_.handleStoreFailure();
}

auto HolderRole::skip(const Duration pause) -> void
{
    cell_.skip(pause);
    inspector_.skip();
}

auto HolderRole::receive(const NodeAddress &from, const Heartbeat &heartbeat) -> void
{
    const auto before = cell_.changeCount();
    switch (cell_.hear(from, heartbeat)) {
    case HeartbeatResult::Accepted: {
        if (heartbeat.report) {
            noteDrain(before, heartbeat.report->endpoint);
        }
        const auto &member = *cell_.find(from);
        const auto isKnown = heartbeat.self == member.self;
        const auto isCurrent = !isReady() || heartbeat.known == versionFor(from, member);
        if (isCurrent) {
            pusher_.acknowledge(from);
        }
        answer(from, heartbeat, !heartbeat.report && (!isKnown || !isCurrent));
        return;
    }
    case HeartbeatResult::NeedsReport:
        answer(from, heartbeat, true);
        return;
    case HeartbeatResult::Full:
        context_->count("membership.refused_full");
        context_->hooks.send(from, Redirect{heartbeat.incarnation, RedirectReason::Full});
        return;
    case HeartbeatResult::WrongCell:
        context_->count("membership.refused_not_holder");
        context_->hooks.send(from, Redirect{heartbeat.incarnation, RedirectReason::NotHolder});
        return;
    case HeartbeatResult::Stale:
        context_->count("membership.heartbeat_stale");
        return;
    }
}

auto HolderRole::noteDrain(const std::uint64_t before, const Endpoint &endpoint) -> void
{
    if (before != cell_.changeCount() && endpoint.state == EndpointState::Draining) {
        urgent_ = true;
    }
}

auto HolderRole::answer(const NodeAddress &from, const Heartbeat &heartbeat, const bool wantsReport) -> void
{
    HeartbeatAnswer message{context_->incarnation, ++sequence_, wantsReport, context_->attachment(), {}};
    if (heartbeat.report && !wantsReport) {
        const auto &report = *heartbeat.report;
        message.changes = changesFor(from, report.services, report.directory, report.assignment);
    }
    context_->hooks.send(from, std::move(message));
}

auto HolderRole::receive(const NodeAddress &from, const Leaving &leaving) -> void
{
    if (cell_.depart(from, leaving.incarnation)) {
        context_->count("membership.member_left");
        urgent_ = true;
    }
    context_->hooks.send(from, LeavingAnswer{leaving.incarnation});
}

auto HolderRole::receive(const NodeAddress & /*from*/, const ProbeAnswer &answer) -> void
{
    inspector_.handleProbeAnswer(answer.cell);
}

auto HolderRole::changesFor(const NodeAddress &node,
                            const std::span<const ServiceVersion> services,
                            const ContentVersion directory,
                            const ContentVersion assignment) const -> Changes
{
    Changes changes;
    if (!isReady()) {
        return changes;
    }
    for (const auto &known : services) {
        const auto version = fleet_.version(known.service);
        if (version != known.version) {
            const auto endpoints = fleet_.endpoints(known.service);
            changes.services.push_back({known.service, version, {endpoints.begin(), endpoints.end()}});
        }
    }
    if (directory != fleet_.directory().version) {
        changes.directory = fleet_.directory();
    }
    if (auto present = assigner_.assignment(node, cell_); present.version != assignment) {
        changes.assignment = std::move(present);
    }
    return changes;
}

auto HolderRole::successor() const -> std::optional<NodeAddress>
{
    return cellSuccessor(*context_, name_, cell_);
}

auto HolderRole::isSettled() const -> bool
{
    return writer_.isSettled(cell_.records());
}

auto HolderRole::versionFor(const NodeAddress &node, const CellMember &member) const -> ContentVersion
{
    std::vector<ServiceVersion> services;
    for (const auto &service : member.services) {
        services.push_back({service, fleet_.version(service)});
    }
    return versionOf(services, fleet_.directory().version, assigner_.assignment(node, cell_).version);
}

auto HolderRole::handleWatch(const store::Answer &answer) -> void
{
    for (const auto &entry : answer.entries) {
        const LeaseName cell{entry.key};
        if (cell == name_) {
            handleOwnEntry(entry);
            continue;
        }
        auto record = parseCellRecord(entry.value);
        if (!record) {
            context_->count("membership.record_unreadable");
            continue;
        }
        fleet_.setCell(cell, {std::move(record->members), entry.revision});
        stale_ = true;
    }
    for (const auto &key : answer.removed) {
        const LeaseName cell{key};
        if (cell == name_) {
            writer_.invalidate();
            continue;
        }
        fleet_.removeCell(cell);
        stale_ = true;
    }
}

auto HolderRole::handleOwnEntry(const store::Entry &entry) -> void
{
    const auto record = parseCellRecord(entry.value);
    const auto isOwn = record && record->holder == context_->self && record->incarnation == context_->incarnation;
    if (!isOwn && entry.revision > writer_.revision()) {
        writer_.invalidate();
    }
}

auto HolderRole::mergeRecord(const CellRecord &record) -> void
{
    for (const auto &node : cell_.merge(record, since_)) {
        context_->hooks.send(node, Announcement{name_});
    }
}

auto HolderRole::refreshFleet() -> void
{
    if (published_ != cell_.changeCount()) {
        published_ = cell_.changeCount();
        stale_ = true;
    }
    if (!stale_ || !isReady()) {
        return;
    }
    stale_ = false;
    fleet_.setCell(name_, {cell_.records(), writer_.revision()});
    const auto changes = fleet_.refresh();
    pusher_.add(changes, cell_);
}

} // namespace jasminelatch::membership::internal

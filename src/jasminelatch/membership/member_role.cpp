#include "member_role.hpp"

#include "hash.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace jasminelatch::membership::internal {

constexpr std::uint32_t reportRepeats = 3; // Heartbeats.

MemberRole::MemberRole(const Context &context, Endpoint self)
    : context_{&context}
    , self_{std::move(self)}
    , locator_{context}
    , heardAt_{context.now()}
    , cellSince_{context.now()}
    , nextHeartbeat_{context.now()}
    , nextLeaving_{context.now()}
{
}

auto MemberRole::start() -> void
{
    started_ = true;
    locator_.start();
}

auto MemberRole::tick(const bool isHolder) -> void
{
    const auto now = context_->now();
    if (!started_ || left_) {
        return;
    }
    if (isLeaving()) {
        sendLeaving(now);
        return;
    }
    noteCell(now);
    if (isHolder) {
        joined_ = true;
        heardAt_ = now;
        return;
    }
    abandonDeadCell(now);
    locator_.tick(isSilent());
    noteCell(now);
    if (locator_.holder() && *locator_.holder() != context_->self && now >= nextHeartbeat_) {
        sendHeartbeat(now);
    }
}

auto MemberRole::abandonDeadCell(const TimePoint now) -> void
{
    if (!locator_.isStoreUp()) {
        // Nobody can take the cell over before the store is back.
        cellSince_ = now;
    }
    const auto quiet = now - std::max(heardAt_, cellSince_);
    if (!locator_.cell() || quiet <= context_->settings.abandonTimeout) {
        return;
    }
    context_->count("membership.cell_abandoned");
    LOG(INFO) << "membership: abandons cell " << *locator_.cell();
    locator_.moveOn(false);
}

auto MemberRole::noteCell(const TimePoint now) -> void
{
    if (lastCell_ != locator_.cell()) {
        lastCell_ = locator_.cell();
        cellSince_ = now;
        reportSoon();
    }
    if (lastHolder_ != locator_.holder()) {
        lastHolder_ = locator_.holder();
        reportSoon();
    }
}

auto MemberRole::skip(const Duration pause) -> void
{
    heardAt_ += pause;
    cellSince_ += pause;
}

auto MemberRole::isSilent() const -> bool
{
    return !locator_.holder() || context_->now() - heardAt_ > context_->settings.holderTimeout;
}

auto MemberRole::setEndpoint(const Endpoint &endpoint, const bool now) -> void
{
    if (self_ == endpoint) {
        return;
    }
    self_ = endpoint;
    if (now) {
        reportSoon();
    }
}

auto MemberRole::setRights(std::vector<LeaseName> rights) -> void
{
    std::ranges::sort(rights);
    if (rights_ == rights) {
        return;
    }
    rights_ = std::move(rights);
    reportSoon();
}

auto MemberRole::subscribe(const ServiceName &service) -> void
{
    if (view_.subscribe(service)) {
        reportSoon();
    }
}

auto MemberRole::reportSoon() -> void
{
    reportsDue_ = reportRepeats;
    nextHeartbeat_ = context_->now();
}

auto MemberRole::leave() -> void
{
    if (isLeaving()) {
        return;
    }
    const auto now = context_->now();
    leavingSince_ = now;
    nextLeaving_ = now;
    for (const auto &peer : view_.assignment().peers) {
        context_->hooks.send(peer, Leaving{context_->incarnation});
    }
    sendLeaving(now);
}

auto MemberRole::sendLeaving(const TimePoint now) -> void
{
    const auto &holder = locator_.holder();
    if (now < nextLeaving_ || !holder || *holder == context_->self) {
        return;
    }
    nextLeaving_ = now + context_->settings.leavingInterval;
    context_->hooks.send(*holder, Leaving{context_->incarnation});
}

auto MemberRole::sendHeartbeat(const TimePoint now) -> void
{
    const auto &settings = context_->settings;
    Heartbeat heartbeat{context_->incarnation, ++sequence_, selfVersion(), view_.version(), context_->attachment(), {}};
    nextHeartbeat_ = now + settings.heartbeatInterval;
    if (reportsDue_ > 0) {
        --reportsDue_;
        heartbeat.report = Report{*locator_.cell(),
                                  locator_.joins(),
                                  self_,
                                  rights_,
                                  view_.services(),
                                  view_.directory().version,
                                  view_.assignment().version};
    }
    if (reportsDue_ > 0) {
        nextHeartbeat_ = now + settings.leavingInterval;
    }
    context_->hooks.send(*locator_.holder(), std::move(heartbeat));
}

auto MemberRole::selfVersion() const -> ContentVersion
{
    Hasher hasher;
    hasher.add(*locator_.cell()).add(locator_.joins()).add(self_);
    for (const auto &right : rights_) {
        hasher.add(right);
    }
    for (const auto &service : view_.services()) {
        hasher.add(service.service);
    }
    return hasher.result();
}

auto MemberRole::record() const -> MemberRecord
{
    return {self_, context_->incarnation, locator_.joins(), rights_};
}

template<typename FromHolder>
auto MemberRole::accept(const NodeAddress &from, const FromHolder &message) -> bool
{
    if (from != locator_.holder()) {
        context_->count("membership.answer_unexpected");
        return false;
    }
    const auto isSame = heard_.holder == from;
    if (isSame && std::pair{message.incarnation, message.sequence} <= std::pair{heard_.incarnation, heard_.sequence}) {
        context_->count("membership.answer_stale");
        return false;
    }
    heard_ = {from, message.incarnation, message.sequence};
    heardAt_ = context_->now();
    return true;
}

auto MemberRole::receive(const NodeAddress &from, const HeartbeatAnswer &message) -> void
{
    if (isLeaving() || !accept(from, message)) {
        return;
    }
    if (!message.attachment.empty() && context_->hooks.attachmentReceived) {
        context_->hooks.attachmentReceived(from, message.attachment);
    }
    locator_.handleHolderHeard();
    if (message.wantsReport) {
        reportsDue_ = std::max(reportsDue_, 1U);
        nextHeartbeat_ = context_->now();
    } else {
        joined_ = true;
    }
    apply(message.changes);
}

auto MemberRole::receive(const NodeAddress &from, const Push &message) -> void
{
    if (isLeaving() || !accept(from, message)) {
        return;
    }
    if (!message.attachment.empty() && context_->hooks.attachmentReceived) {
        context_->hooks.attachmentReceived(from, message.attachment);
    }
    apply(message.changes);
    // Acknowledges the push by the version of the view.
    nextHeartbeat_ = context_->now();
}

auto MemberRole::receive(const NodeAddress &from, const Leaving & /*message*/) -> void
{
    if (isLeaving()) {
        return;
    }
    notify(view_.drop(from));
    if (from == locator_.holder()) {
        locator_.lookUp(true);
    }
}

auto MemberRole::receive(const NodeAddress &from, const LeavingAnswer &message) -> void
{
    if (isLeaving() && from == locator_.holder() && message.incarnation == context_->incarnation) {
        finishLeave();
    }
}

auto MemberRole::receive(const NodeAddress &from, const Redirect &message) -> void
{
    if (isLeaving() || from != locator_.holder() || message.incarnation != context_->incarnation) {
        return;
    }
    if (message.reason == RedirectReason::Full) {
        locator_.moveOn(true);
        return;
    }
    context_->count("membership.redirected");
}

auto MemberRole::receive(const NodeAddress &from, const Announcement &message) -> void
{
    if (isLeaving() || message.cell != locator_.cell() || !isSilent()) {
        return;
    }
    locator_.setHolder(from);
    reportSoon();
}

auto MemberRole::receive(const NodeAddress &from, const Probe &message) -> void
{
    if (!isLeaving() && message.cell == locator_.cell()) {
        context_->hooks.send(from, ProbeAnswer{message.cell});
    }
}

auto MemberRole::apply(const Changes &changes) -> void
{
    notify(view_.apply(changes));
}

auto MemberRole::notify(const View::Touched &touched) -> void
{
    if (context_->hooks.endpointsChanged) {
        for (const auto &service : touched.services) {
            context_->hooks.endpointsChanged(service);
        }
    }
    if (touched.directory && context_->hooks.directoryChanged) {
        context_->hooks.directoryChanged();
    }
}

} // namespace jasminelatch::membership::internal

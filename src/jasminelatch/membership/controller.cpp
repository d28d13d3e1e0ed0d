#include "controller.hpp"

#include "context.hpp"
#include "fleet.hpp"
#include "holder_role.hpp"
#include "member_role.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace jasminelatch::membership {

namespace internal {

template<typename Type>
constexpr bool isForHolder =
    std::is_same_v<Type, Heartbeat> || std::is_same_v<Type, Leaving> || std::is_same_v<Type, ProbeAnswer>;

template<typename Type>
constexpr bool isForMember = !std::is_same_v<Type, Heartbeat> && !std::is_same_v<Type, ProbeAnswer>;

} // namespace internal

auto statusName(const Status status) -> std::string_view
{
    switch (status) {
    case Status::Stopped:
        return "stopped";
    case Status::WaitingForStore:
        return "waiting for the store";
    case Status::Joining:
        return "joining";
    case Status::Member:
        return "member";
    case Status::Holder:
        return "holder";
    case Status::Leaving:
        return "leaving";
    case Status::Left:
        break;
    }
    return "left";
}

Controller::Controller(Settings settings,
                       Endpoint self,
                       const std::uint64_t incarnation,
                       const Clock &clock,
                       Counters &counters,
                       Hooks hooks)
    : context_{std::make_unique<internal::Context>(internal::Context{.settings = settings,
                                                                     .self = self.node,
                                                                     .domain = self.domain,
                                                                     .incarnation = incarnation,
                                                                     .clock = &clock,
                                                                     .counters = &counters,
                                                                     .hooks = std::move(hooks)})}
    , member_{std::make_unique<internal::MemberRole>(*context_, std::move(self))}
    , lastTick_{clock.now()}
{
}

Controller::~Controller() = default;

auto Controller::start() -> void
{
    member_->start();
}

auto Controller::tick() -> void
{
    skipPause();
    if (!member_->isStarted() || member_->hasLeft()) {
        return;
    }
    checkRight();
    member_->tick(isHolder_);
    if (isHolder_) {
        tickHolder();
    }
    if (member_->isLeaving()) {
        tickLeaving();
    }
}

auto Controller::skipPause() -> void
{
    const auto now = context_->now();
    const auto gap = now - std::exchange(lastTick_, now);
    if (gap <= context_->settings.pauseThreshold) {
        return;
    }
    context_->count("membership.paused");
    member_->skip(gap);
    if (holder_) {
        holder_->skip(gap);
    }
}

auto Controller::checkRight() -> void
{
    const auto &cell = member_->locator().cell();
    if (holder_ && (!cell || holder_->cellName() != *cell)) {
        holder_.reset();
        isHolder_ = false;
    }
    const auto holds = cell && context_->hooks.holds(*cell);
    if (holds == isHolder_) {
        return;
    }
    isHolder_ = holds;
    if (!holds) {
        context_->count("membership.cell_lost");
    } else if (holder_) {
        holder_->resume();
    } else {
        holder_ = std::make_unique<internal::HolderRole>(*context_, *cell);
    }
}

auto Controller::tickHolder() -> void
{
    std::optional<MemberRecord> self;
    if (!member_->isLeaving()) {
        self = member_->record();
    }
    holder_->tick(self);
    const auto &view = member_->view();
    member_->apply(
        holder_->changesFor(context_->self, view.services(), view.directory().version, view.assignment().version));
}

auto Controller::tickLeaving() -> void
{
    const auto isLate = context_->now() >= *member_->leavingSince() + context_->settings.leavingTimeout;
    if (!isLate && (!isHolder_ || !holder_->isSettled())) {
        return;
    }
    if (isHolder_) {
        context_->hooks.stopContending(holder_->cellName());
        isHolder_ = false;
    }
    member_->finishLeave();
}

auto Controller::receive(const NodeAddress &from, const Message &message) -> void
{
    if (!member_->isStarted() || member_->hasLeft()) {
        return;
    }
    std::visit(
        [&](const auto &value) {
            using Type = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<Type, Heartbeat>) {
                if (!isHolder_) {
                    context_->count("membership.refused_not_holder");
                    context_->hooks.send(from, Redirect{value.incarnation, RedirectReason::NotHolder});
                    return;
                }
                if (!value.attachment.empty() && context_->hooks.attachmentReceived) {
                    context_->hooks.attachmentReceived(from, value.attachment);
                }
            }
            if constexpr (internal::isForMember<Type>) {
                member_->receive(from, value);
            }
            if constexpr (internal::isForHolder<Type>) {
                if (isHolder_) {
                    holder_->receive(from, value);
                }
            }
        },
        message);
}

auto Controller::setState(const EndpointState state) -> void
{
    auto endpoint = member_->endpoint();
    endpoint.state = state;
    member_->setEndpoint(endpoint, true);
}

auto Controller::setSlots(const std::uint32_t slots, const std::uint32_t connections) -> void
{
    auto endpoint = member_->endpoint();
    endpoint.slots = slots;
    endpoint.connections = connections;
    member_->setEndpoint(endpoint, false);
}

auto Controller::subscribe(const ServiceName &service) -> void
{
    member_->subscribe(service);
}

auto Controller::setHeldRights(std::vector<LeaseName> rights) -> void
{
    member_->setRights(std::move(rights));
}

auto Controller::leave() -> void
{
    if (!member_->isStarted()) {
        return;
    }
    member_->leave();
}

auto Controller::endpoints(const ServiceName &service) const -> std::span<const Endpoint>
{
    return member_->view().endpoints(service);
}

auto Controller::holderOf(const LeaseName &right) const -> std::optional<NodeAddress>
{
    return member_->view().holderOf(right);
}

auto Controller::suggestedSuccessor(const LeaseName &right) const -> std::optional<NodeAddress>
{
    if (isHolder_ && holder_->cellName() == right) {
        return holder_->successor();
    }
    const auto found = std::ranges::find(duties(), right, &Duty::right);
    if (found == duties().end() || found->successor.empty()) {
        return {};
    }
    return found->successor;
}

auto Controller::duties() const -> std::span<const Duty>
{
    return member_->view().assignment().duties;
}

auto Controller::peers() const -> std::span<const NodeAddress>
{
    return member_->view().assignment().peers;
}

auto Controller::fleetSize() const -> std::size_t
{
    return std::max<std::size_t>(1, member_->view().assignment().fleetSize);
}

auto Controller::isCellHolder() const -> bool
{
    return isHolder_;
}

auto Controller::cell() const -> std::optional<LeaseName>
{
    return member_->locator().cell();
}

auto Controller::cellHolder() const -> std::optional<NodeAddress>
{
    if (isHolder_) {
        return context_->self;
    }
    return member_->locator().holder();
}

auto Controller::joined() const -> bool
{
    return member_->hasJoined();
}

auto Controller::status() const -> Status
{
    if (!member_->isStarted()) {
        return Status::Stopped;
    }
    if (member_->isLeaving()) {
        return member_->hasLeft() ? Status::Left : Status::Leaving;
    }
    if (isHolder_) {
        return Status::Holder;
    }
    if (!member_->locator().storeAnswered()) {
        return Status::WaitingForStore;
    }
    return member_->isSilent() || !member_->hasJoined() ? Status::Joining : Status::Member;
}

auto Controller::fleet() const -> const Fleet *
{
    return isHolder_ ? &holder_->fleet() : nullptr;
}

} // namespace jasminelatch::membership

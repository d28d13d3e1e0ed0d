#include "controllers.hpp"

#include <jasminelatch/membership/cell_record.hpp>
#include <jasminelatch/membership/fleet.hpp>
#include <jasminelatch/quota/split.hpp>

#include <glog/logging.h>

#include <charconv>
#include <string_view>
#include <utility>

namespace jasminelatch::node {

namespace internal {

/*! @brief Time after which a lease has lapsed anyway. */
constexpr Duration longestHandOver = std::chrono::seconds{2};
constexpr Duration longestRelease = lease::Settings{}.storeLeaseTtl;

auto quotaSettings(const Settings &settings) -> quota::Settings
{
    quota::Settings quota;
    quota.mode = settings.quota;
    quota.nodeCount = settings.staticNodes;
    return quota;
}

/*! @brief Returns the shard that a right of the form `order/<shard>` stands for. */
auto shardOf(const LeaseName &right) -> std::optional<order::Shard>
{
    constexpr std::string_view prefix = "order/";
    const std::string_view text{right.text()};
    if (!text.starts_with(prefix)) {
        return std::nullopt;
    }
    order::Shard shard{};
    const auto end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + prefix.size(), end, shard);
    return result.ptr == end ? std::optional{shard} : std::nullopt;
}

auto endpoint(const Settings &settings) -> membership::Endpoint
{
    return {settings.address, settings.service, settings.domain, 0, 0, membership::EndpointState::Draining};
}

} // namespace internal

Controllers::Controllers(
    const Settings &settings, const std::uint64_t incarnation, const Clock &clock, Counters &counters, Hooks hooks)
    : self_{settings.address}
    , incarnation_{incarnation}
    , clock_{&clock}
    , counters_{&counters}
    , hooks_{std::move(hooks)}
    , lease_{{}, settings.address, incarnation, clock, counters, leaseHooks()}
    , membership_{{}, internal::endpoint(settings), incarnation, clock, counters, membershipHooks()}
    , configuration_{{}, settings.address, clock, counters, configurationHooks(), incarnation}
    , shareHolder_{internal::quotaSettings(settings), clock, counters, shareHolderHooks()}
    , borrower_{internal::quotaSettings(settings), settings.address, incarnation, clock, counters, borrowerHooks()}
{
}

auto Controllers::leaseHooks() -> lease::LeaseController::Hooks
{
    lease::LeaseController::Hooks hooks;
    hooks.store = hooks_.store;
    hooks.send = [this](const NodeAddress &to, lease::Message message) {
        hooks_.send(to, std::move(message));
    };
    hooks.chooseSuccessor = [this](const LeaseName &right) {
        return membership_.suggestedSuccessor(right);
    };
    hooks.acquired = [this](const LeaseName &right, const lease::Acquisition &acquisition) {
        onAcquired(right, acquisition);
    };
    hooks.lost = [this](const LeaseName &right) {
        onLost(right);
    };
    return hooks;
}

auto Controllers::membershipHooks() -> membership::Hooks
{
    membership::Hooks hooks;
    hooks.store = hooks_.store;
    hooks.send = [this](const NodeAddress &to, membership::Message message) {
        hooks_.send(to, std::move(message));
    };
    hooks.holds = [this](const LeaseName &right) {
        return lease_.holds(right);
    };
    hooks.contend = [this](const LeaseName &right) {
        lease_.contend(right);
    };
    hooks.stopContending = [this](const LeaseName &right) {
        lease_.stopContending(right);
    };
    hooks.wantedRights = [this] {
        return wantedRights();
    };
    hooks.endpointsChanged = [this](const ServiceName &service) {
        hooks_.endpointsChanged(service);
    };
    return hooks;
}

auto Controllers::configurationHooks() -> configuration::Controller::Hooks
{
    configuration::Controller::Hooks hooks;
    hooks.store = hooks_.store;
    hooks.send = [this](const NodeAddress &to, configuration::Message message) {
        hooks_.send(to, std::move(message));
    };
    hooks.isCellHolder = [this] {
        return membership_.isCellHolder();
    };
    hooks.cellHolder = [this] {
        return membership_.cellHolder();
    };
    hooks.otherHolders = [this] {
        return otherHolders();
    };
    hooks.changed = [this](const configuration::View &view) {
        onView(view);
    };
    return hooks;
}

auto Controllers::otherHolders() const -> std::vector<NodeAddress>
{
    std::vector<NodeAddress> holders;
    if (const auto *fleet = membership_.fleet()) {
        for (const auto &entry : fleet->directory().rights) {
            if (entry.right.text().starts_with(membership::cellPrefix) && entry.holder != self_) {
                holders.push_back(entry.holder);
            }
        }
    }
    if (holders.empty()) {
        const auto peers = membership_.peers();
        holders.assign(peers.begin(), peers.end());
    }
    return holders;
}

auto Controllers::borrowerHooks() -> quota::Borrower::Hooks
{
    quota::Borrower::Hooks hooks;
    hooks.send = [this](const NodeAddress &to, quota::Message message) {
        hooks_.send(to, std::move(message));
    };
    hooks.holderOf = [this](const LeaseName &right) {
        return membership_.holderOf(right);
    };
    return hooks;
}

auto Controllers::shareHolderHooks() -> quota::ShareHolder::Hooks
{
    quota::ShareHolder::Hooks hooks;
    hooks.send = [this](const NodeAddress &to, quota::Message message) {
        hooks_.send(to, std::move(message));
    };
    hooks.holds = [this](const LeaseName &right) {
        return lease_.holds(right);
    };
    return hooks;
}

auto Controllers::claimHolderHooks() -> order::ClaimHolder::Hooks
{
    order::ClaimHolder::Hooks hooks;
    hooks.store = hooks_.store;
    hooks.send = [this](const NodeAddress &to, order::Message message) {
        hooks_.send(to, std::move(message));
    };
    hooks.holds = [this](const order::Shard shard) {
        return lease_.holds(order::rightOf(shard));
    };
    hooks.successor = [this](const order::Shard shard) {
        return lease_.successor(order::rightOf(shard));
    };
    return hooks;
}

auto Controllers::claimantHooks() -> order::Claimant::Hooks
{
    order::Claimant::Hooks hooks;
    hooks.send = [this](const NodeAddress &to, order::Message message) {
        hooks_.send(to, std::move(message));
    };
    hooks.holderOf = [this](const order::Shard shard) {
        return membership_.holderOf(order::rightOf(shard));
    };
    return hooks;
}

auto Controllers::onAcquired(const LeaseName &right, const lease::Acquisition &acquisition) -> void
{
    shareHolder_.onAcquired(right);
    const auto shard = internal::shardOf(right);
    if (!shard) {
        return;
    }
    acquiredShards_[*shard] = acquisition;
    if (claimHolder_) {
        claimHolder_->acquired(*shard, acquisition);
    }
}

auto Controllers::onLost(const LeaseName &right) -> void
{
    shareHolder_.onLost(right);
    const auto shard = internal::shardOf(right);
    if (!shard) {
        return;
    }
    acquiredShards_.erase(*shard);
    if (claimHolder_) {
        claimHolder_->lost(*shard);
    }
}

auto Controllers::startOrders(const record::Fleet &fleet) -> void
{
    if (claimHolder_) {
        if (fleet.orderShards != orderShards_) {
            LOG(ERROR) << "node: order_shards changed; this node keeps " << orderShards_ << " until it restarts";
        }
        return;
    }
    orderShards_ = fleet.orderShards;
    order::Settings settings;
    settings.retention = fleet.orderRetention;
    claimHolder_.emplace(settings, self_, incarnation_, *clock_, *counters_, claimHolderHooks());
    claimant_.emplace(settings, orderShards_, *clock_, *counters_, claimantHooks());
    for (const auto &[shard, acquisition] : acquiredShards_) {
        claimHolder_->acquired(shard, acquisition);
    }
}

auto Controllers::wantedRights() const -> std::vector<LeaseName>
{
    if (configuration_.view()->revision() == 0) {
        // The counts of shards aren't known: rights taken by the defaults might be wanted by nobody later.
        return {};
    }
    const auto &fleet = configuration_.view()->fleet();
    std::vector<LeaseName> rights;
    for (std::uint32_t group = 0; group < fleet.quotaGroups; ++group) {
        for (std::uint32_t index = 0; index < fleet.quotaShares; ++index) {
            rights.push_back(quota::rightName({group, index}));
        }
    }
    for (order::Shard shard = 0; shard < fleet.orderShards; ++shard) {
        rights.push_back(order::rightOf(shard));
    }
    return rights;
}

auto Controllers::onView(const configuration::View &view) -> void
{
    std::vector<record::Account> accounts;
    for (const auto *account : view.accounts()) {
        accounts.push_back(*account);
    }
    shareHolder_.setRecords(view.fleet(), accounts);
    borrower_.setRecords(view.fleet(), accounts);
    startOrders(view.fleet());
    for (const auto *kind : view.kinds()) {
        membership_.subscribe(kind->service);
    }
    hooks_.viewChanged(view);
}

auto Controllers::start() -> void
{
    membership_.start();
}

auto Controllers::tick() -> void
{
    lease_.tick();
    membership_.tick();
    configuration_.tick();
    shareHolder_.tick();
    borrower_.tick();
    if (claimHolder_) {
        claimHolder_->tick();
        claimant_->tick();
    }
    if (!leftAt_) {
        followDuties();
        return;
    }
    releaseWhenHandedOver();
}

auto Controllers::followDuties() -> void
{
    std::set<LeaseName> duties;
    for (const auto &duty : membership_.duties()) {
        duties.insert(duty.right);
        if (contended_.insert(duty.right).second) {
            lease_.contend(duty.right);
        }
    }
    std::erase_if(contended_, [&](const LeaseName &right) {
        if (duties.contains(right)) {
            return false;
        }
        lease_.stopContending(right);
        return true;
    });
    membership_.setHeldRights(lease_.heldRights());
}

auto Controllers::receive(const NodeAddress &from, const configuration::Message &message) -> void
{
    configuration_.receive(from, message);
}

auto Controllers::receive(const NodeAddress &from, const membership::Message &message) -> void
{
    membership_.receive(from, message);
}

auto Controllers::receive(const NodeAddress &from, const lease::Message &message) -> void
{
    lease_.receive(from, message);
}

auto Controllers::receive(const NodeAddress &from, const order::Message &message) -> void
{
    if (claimHolder_) {
        claimHolder_->receive(from, message);
        claimant_->receive(from, message);
    }
}

auto Controllers::receive(const NodeAddress &from, const quota::Message &message) -> void
{
    shareHolder_.receive(from, message);
    borrower_.receive(from, message);
}

auto Controllers::announce(const membership::EndpointState state,
                           const std::uint32_t slots,
                           const std::uint32_t connections) -> void
{
    membership_.setSlots(slots, connections);
    membership_.setState(state);
}

auto Controllers::leave() -> void
{
    leftAt_ = clock_->now();
    membership_.leave();
    if (claimHolder_) {
        claimHolder_->handOver();
    }
    releaseWhenHandedOver();
}

auto Controllers::releaseWhenHandedOver() -> void
{
    const auto waited = clock_->now() - *leftAt_;
    const auto ready = !claimHolder_ || (claimHolder_->isHandedOver() && claimant_->openReports() == 0);
    if (!released_ && (ready || waited >= internal::longestHandOver)) {
        released_ = true;
        lease_.releaseAll();
    }
}

auto Controllers::hasLeft() const -> bool
{
    if (!released_ || membership_.status() != membership::Status::Left) {
        return false;
    }
    return lease_.allReleased() || clock_->now() - *leftAt_ >= internal::longestRelease;
}

} // namespace jasminelatch::node

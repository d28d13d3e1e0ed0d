#ifndef JASMINELATCH_TEST_MEMBERSHIP_TEST_FLEET_HPP
#define JASMINELATCH_TEST_MEMBERSHIP_TEST_FLEET_HPP

#include <jasminelatch/membership/cell_record.hpp>
#include <jasminelatch/membership/controller.hpp>

#include <support/fake_store.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::membership::test {

inline constexpr Duration stepLength = std::chrono::milliseconds{50};
inline constexpr Duration takeOverDelay = std::chrono::seconds{6};
inline constexpr Duration renewInterval = std::chrono::seconds{2};

/*! @brief What the fake network does to messages. */
struct Channel {
    double loss{}; /*!< Share of messages lost. */
    double doubling{}; /*!< Share of messages that arrive twice. */
    std::uint32_t maxDelaySteps{1}; /*!< Messages take one to this many steps, each for itself. */
    std::set<std::pair<NodeAddress, NodeAddress>> cuts; /*!< Pairs that can't reach each other, both ways. */
};

/*! @brief Fleet of controllers on one paused clock, with a fake network, store and lease. */
class TestFleet
{
public:
    struct Node {
        Endpoint endpoint;
        std::uint64_t incarnation{};
        std::set<LeaseName> contended;
        Counters counters;
        std::unique_ptr<Controller> controller;
        Duration pausedFor{};
    };

    TestFleet(Settings settings, const std::uint64_t seed)
        : settings_{settings}
        , random_{seed}
        , store_{clock_}
        , deadStore_{clock_}
    {
        clock_.pause();
        deadStore_.setFault(jasminelatch::test::StoreFault::Down);
    }

    /*! @brief Starts a process at an address; one that ran there before is killed. */
    auto start(const std::string &address, const std::string &service, const std::string &domain) -> Node &
    {
        kill(NodeAddress{address});
        const Endpoint endpoint{NodeAddress{address}, ServiceName{service}, FailureDomain{domain}, 70, 500};
        auto &node = *nodes_.emplace(endpoint.node, std::make_unique<Node>()).first->second;
        node.endpoint = endpoint;
        node.incarnation = ++incarnations_;
        node.controller =
            std::make_unique<Controller>(settings_, endpoint, node.incarnation, clock_, node.counters, hooks(node));
        for (const auto &name : services_) {
            node.controller->subscribe(name);
        }
        node.controller->start();
        return node;
    }

    auto kill(const NodeAddress &address) -> void { nodes_.erase(address); }

    auto setServices(std::vector<ServiceName> services) -> void { services_ = std::move(services); }
    auto setWantedRights(std::vector<LeaseName> rights) -> void { wanted_ = std::move(rights); }

    auto step() -> void
    {
        clock_.advance(stepLength);
        deliver();
        if (!storeSlow_) {
            store_.answerAll();
        }
        deadStore_.answerAll();
        stepLeases();
        for (auto &[address, node] : nodes_) {
            if (node->pausedFor > Duration::zero()) {
                node->pausedFor -= stepLength;
                continue;
            }
            node->controller->tick();
            node->controller->setHeldRights(held(address));
        }
        std::erase_if(nodes_, [](const auto &entry) { return entry.second->controller->status() == Status::Left; });
    }

    auto run(const Duration length, const std::function<void()> &check = {}) -> void
    {
        for (Duration passed{}; passed < length; passed += stepLength) {
            step();
            if (check) {
                check();
            }
        }
    }

    /*! @brief Runs until a condition holds; returns the time it took, or `limit` when it never held. */
    auto runUntil(const Duration limit, const std::function<bool()> &condition) -> Duration
    {
        for (Duration passed{}; passed < limit; passed += stepLength) {
            if (condition()) {
                return passed;
            }
            step();
        }
        return limit;
    }

    /*! @brief Tells whether every node lists exactly the live endpoints with their present state. */
    [[nodiscard]] auto isExact() const -> bool
    {
        return std::ranges::all_of(nodes_, [&](const auto &entry) { return isExactAt(*entry.second); });
    }

    /*! @brief Returns joined endpoints that some joined node does not list, as node and endpoint. */
    [[nodiscard]] auto missing() const -> std::set<std::pair<NodeAddress, NodeAddress>>
    {
        std::map<ServiceName, std::vector<NodeAddress>> joined;
        for (const auto &[address, node] : nodes_) {
            if (node->controller->joined()) {
                joined[node->endpoint.service].push_back(address);
            }
        }
        std::set<std::pair<NodeAddress, NodeAddress>> pairs;
        for (const auto &[address, node] : nodes_) {
            if (!node->controller->joined()) {
                continue;
            }
            for (const auto &[service, live] : joined) {
                std::vector<NodeAddress> listed;
                for (const auto &endpoint : node->controller->endpoints(service)) {
                    listed.push_back(endpoint.node);
                }
                std::vector<NodeAddress> absent;
                std::ranges::set_difference(live, listed, std::back_inserter(absent));
                for (const auto &other : absent) {
                    pairs.emplace(address, other);
                }
            }
        }
        return pairs;
    }

    [[nodiscard]] auto isListed(const NodeAddress &address, const ServiceName &service) const -> bool
    {
        return std::ranges::any_of(nodes_, [&](const auto &entry) {
            return lists(*entry.second, Endpoint{.node = address, .service = service});
        });
    }

    /*! @brief Tells whether some other node lists an endpoint as one that takes work. */
    [[nodiscard]] auto isOffered(const Endpoint &endpoint) const -> bool
    {
        const auto isOpen = [&](const Endpoint &other) {
            return other.node == endpoint.node && other.state != EndpointState::Draining;
        };
        return std::ranges::any_of(nodes_, [&](const auto &entry) {
            return entry.first != endpoint.node
                && std::ranges::any_of(entry.second->controller->endpoints(endpoint.service), isOpen);
        });
    }

    [[nodiscard]] auto holderOf(const LeaseName &right) const -> NodeAddress
    {
        const auto position = leases_.find(right);
        return position == leases_.end() ? NodeAddress{} : position->second.holder;
    }

    [[nodiscard]] auto holders() const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(nodes_, [](const auto &entry) { return entry.second->controller->isCellHolder(); }));
    }

    [[nodiscard]] auto nodes() -> std::map<NodeAddress, std::unique_ptr<Node>> & { return nodes_; }
    [[nodiscard]] auto store() -> jasminelatch::test::FakeStore & { return store_; }
    [[nodiscard]] auto channel() -> Channel & { return channel_; }
    /*! @brief Nodes that can't reach the store; they keep the rights that they hold. */
    [[nodiscard]] auto storeCuts() -> std::set<NodeAddress> & { return storeCuts_; }
    [[nodiscard]] auto clock() const -> const Clock & { return clock_; }
    [[nodiscard]] auto sentBytes() const -> const std::map<NodeAddress, std::size_t> & { return sentBytes_; }
    [[nodiscard]] auto receivedBytes() const -> const std::map<NodeAddress, std::size_t> & { return receivedBytes_; }

    /*! @brief Rights that nobody can take over, as after the death of holder and successor. */
    [[nodiscard]] auto stuckRights() -> std::set<LeaseName> & { return stuckRights_; }

    auto countBytes() -> void { countsBytes_ = true; }
    auto setStoreFault(const jasminelatch::test::StoreFault fault) -> void
    {
        storeUp_ = fault == jasminelatch::test::StoreFault::None;
        store_.setFault(fault);
    }
    auto setStoreSlow(const bool slow) -> void { storeSlow_ = slow; }

private:
    struct Lease {
        NodeAddress holder;
        std::uint64_t incarnation{};
        TimePoint renewed;
        TimePoint seen;
        bool released{};
    };
    struct Transit {
        NodeAddress from;
        NodeAddress to;
        Message message;
        std::uint64_t dueStep{};
    };

    auto hooks(Node &node) -> Hooks
    {
        const auto self = node.endpoint.node;
        Hooks hooks;
        hooks.store = [this, self, good = store_.hook(), dead = deadStore_.hook()](store::Request request,
                                                                                   store::Callback callback) {
            (storeCuts_.contains(self) ? dead : good)(std::move(request), std::move(callback));
        };
        hooks.send = [this, self](const NodeAddress &to, Message message) {
            send(self, to, std::move(message));
        };
        hooks.holds = [this, &node](const LeaseName &right) {
            return holds(node, right);
        };
        hooks.contend = [&node](const LeaseName &right) {
            node.contended.insert(right);
        };
        hooks.stopContending = [this, &node](const LeaseName &right) {
            release(node, right);
        };
        hooks.wantedRights = [this] {
            return wanted_;
        };
        hooks.attachment = [] {
            return std::string{"12345"};
        };
        return hooks;
    }

    auto send(const NodeAddress &from, const NodeAddress &to, Message message) -> void
    {
        if (countsBytes_) {
            const auto json = std::visit([](const auto &value) { return nlohmann::json(value); }, message);
            const auto size = nlohmann::json::to_cbor(json).size();
            sentBytes_[from] += size;
            receivedBytes_[to] += size;
        }
        std::uniform_real_distribution<double> chance{0.0, 1.0};
        if (chance(random_) < channel_.loss) {
            return;
        }
        const auto copies = chance(random_) < channel_.doubling ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            transits_.push_back({from, to, message, stepCount_ + 1 + random_() % channel_.maxDelaySteps});
        }
    }

    auto deliver() -> void
    {
        ++stepCount_;
        auto arriving = std::exchange(transits_, {});
        for (auto &transit : arriving) {
            if (transit.dueStep > stepCount_) {
                transits_.push_back(std::move(transit));
                continue;
            }
            const auto position = nodes_.find(transit.to);
            const auto isCut = channel_.cuts.contains({transit.from, transit.to})
                            || channel_.cuts.contains({transit.to, transit.from});
            if (position == nodes_.end() || isCut || position->second->pausedFor > Duration::zero()) {
                continue;
            }
            position->second->controller->receive(transit.from, transit.message);
        }
    }

    [[nodiscard]] auto holds(const Node &node, const LeaseName &right) const -> bool
    {
        const auto position = leases_.find(right);
        return position != leases_.end() && !position->second.released && position->second.holder == node.endpoint.node
            && position->second.incarnation == node.incarnation;
    }

    [[nodiscard]] auto held(const NodeAddress &address) const -> std::vector<LeaseName>
    {
        std::vector<LeaseName> rights;
        for (const auto &[right, lease] : leases_) {
            if (lease.holder == address && !right.text().starts_with(cellPrefix)) {
                rights.push_back(right);
            }
        }
        return rights;
    }

    auto release(Node &node, const LeaseName &right) -> void
    {
        node.contended.erase(right);
        if (holds(node, right)) {
            leases_[right].released = true;
            writeLease(right);
        }
    }

    auto stepLeases() -> void
    {
        if (!storeUp_) {
            return;
        }
        for (auto &[address, node] : nodes_) {
            if (storeCuts_.contains(address)) {
                continue;
            }
            auto rights = node->contended;
            for (const auto &duty : node->controller->duties()) {
                rights.insert(duty.right);
            }
            for (const auto &right : rights) {
                stepContender(*node, right);
            }
        }
        for (auto &[right, lease] : leases_) {
            if (isAlive(lease)) {
                lease.seen = clock_.now();
            }
            if (isAlive(lease) && !storeCuts_.contains(lease.holder) && clock_.now() - lease.renewed >= renewInterval) {
                writeLease(right);
            }
        }
    }

    auto stepContender(const Node &node, const LeaseName &right) -> void
    {
        if (stuckRights_.contains(right)) {
            return;
        }
        auto &lease = leases_[right];
        const auto isFree = lease.holder.empty() || lease.released
                         || (!isAlive(lease) && clock_.now() - lease.seen >= takeOverDelay)
                         || (lease.holder == node.endpoint.node && lease.incarnation < node.incarnation);
        if (isFree) {
            lease = {node.endpoint.node, node.incarnation, {}, clock_.now(), false};
            writeLease(right);
        }
    }

    [[nodiscard]] auto isAlive(const Lease &lease) const -> bool
    {
        const auto position = nodes_.find(lease.holder);
        return position != nodes_.end() && position->second->incarnation == lease.incarnation
            && position->second->pausedFor <= Duration::zero() && !lease.released;
    }

    auto writeLease(const LeaseName &right) -> void
    {
        auto &lease = leases_.at(right);
        lease.renewed = clock_.now();
        const auto key = std::string{leasePrefix} + right.text();
        const auto present = store_.memory().apply({.key = key}, clock_.now());
        const auto revision = present.entries.empty() ? 0 : present.entries.front().revision;
        const nlohmann::json record{{"holder", lease.holder}, {"successor", ""}, {"released", lease.released}};
        store_.memory().apply({store::Operation::Put, key, record.dump(), revision}, clock_.now());
    }

    [[nodiscard]] auto lists(const Node &node, const Endpoint &endpoint) const -> bool
    {
        const auto isSame = [&](const Endpoint &other) {
            return other.node == endpoint.node;
        };
        return std::ranges::any_of(node.controller->endpoints(endpoint.service), isSame);
    }

    [[nodiscard]] auto isExactAt(const Node &node) const -> bool
    {
        for (const auto &service : services_) {
            std::vector<NodeAddress> live;
            for (const auto &[address, other] : nodes_) {
                if (other->endpoint.service == service) {
                    live.push_back(address);
                }
            }
            const auto listed = node.controller->endpoints(service);
            if (!std::ranges::equal(listed, live, {}, &Endpoint::node)) {
                return false;
            }
        }
        return true;
    }

    Settings settings_;
    std::mt19937_64 random_;
    Clock clock_;
    jasminelatch::test::FakeStore store_;
    jasminelatch::test::FakeStore deadStore_;
    std::set<NodeAddress> storeCuts_;
    Channel channel_;
    std::map<NodeAddress, std::unique_ptr<Node>> nodes_;
    std::map<LeaseName, Lease> leases_;
    std::vector<Transit> transits_;
    std::vector<ServiceName> services_;
    std::vector<LeaseName> wanted_;
    std::map<NodeAddress, std::size_t> sentBytes_;
    std::map<NodeAddress, std::size_t> receivedBytes_;
    std::set<LeaseName> stuckRights_;
    std::uint64_t incarnations_{1'700'000'000'000'000};
    std::uint64_t stepCount_{};
    bool storeUp_{true};
    bool storeSlow_{};
    bool countsBytes_{};
};

inline constexpr std::size_t domainCount = 3;
inline constexpr std::size_t serviceCount = 4;

inline auto addressOf(const std::size_t index) -> std::string
{
    return "10.0." + std::to_string(index / 200) + "." + std::to_string(index % 200) + ":7000";
}

inline auto domainOf(const std::size_t index) -> std::string
{
    return "domain" + std::to_string(index % domainCount);
}

/*! @brief Starts the node with a number; the number decides its address, service and failure domain. */
inline auto startNode(TestFleet &fleet, const std::size_t index) -> TestFleet::Node &
{
    const auto service = "service" + std::to_string(index / domainCount % serviceCount);
    return fleet.start(addressOf(index), service, domainOf(index));
}

/*! @brief Starts nodes zero to `count`, each of which calls every service. */
inline auto startFleet(TestFleet &fleet, const std::size_t count) -> void
{
    std::vector<ServiceName> services;
    for (std::size_t index = 0; index < serviceCount; ++index) {
        services.emplace_back("service" + std::to_string(index));
    }
    fleet.setServices(std::move(services));
    for (std::size_t index = 0; index < count; ++index) {
        startNode(fleet, index);
    }
}

} // namespace jasminelatch::membership::test

#endif

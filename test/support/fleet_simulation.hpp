#ifndef JASMINELATCH_TEST_SUPPORT_FLEET_SIMULATION_HPP
#define JASMINELATCH_TEST_SUPPORT_FLEET_SIMULATION_HPP

#include "fake_store.hpp"
#include "fleet_backend.hpp"
#include "fleet_network.hpp"
#include "fleet_oracle.hpp"

#include <jasminelatch/configuration/key.hpp>
#include <jasminelatch/node/core.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace jasminelatch::test {

/**
 * @brief Deterministic simulation of 14 nodes of four services in three failure domains, with clients, store and
 * network; everything derives from one seed.
 */
class FleetSimulation
{
public:
    static constexpr std::size_t nodeCount = 14;
    static constexpr double rate = 30;
    static constexpr double burst = 60;

    /*! @brief Parameters that differ between simulations. */
    struct Plan {
        unsigned shards{8}; /*!< Number of order shards and of quota shares. */
        Duration recordsAfter{}; /*!< Delay from the start of the nodes to the first configuration. */
    };

    explicit FleetSimulation(const std::uint64_t seed)
        : FleetSimulation{seed, Plan{}}
    {
    }

    FleetSimulation(const std::uint64_t seed, const Plan &plan)
        : plan_{plan}
        , random_{seed}
        , oracle_{{rate, burst, 3}}
        , store_{scheduler_.clock()}
        , network_{scheduler_, seed + 1, networkHooks()}
        , nodes_(nodeCount)
    {
        if (plan_.recordsAfter == Duration{}) {
            writeRecords();
        } else {
            scheduler_.after(plan_.recordsAfter, [this] { writeRecords(); });
        }
        for (std::size_t index = 0; index < nodeCount; ++index) {
            start(index);
            tick(index);
        }
        answerStore();
    }

    [[nodiscard]] auto oracle() -> FleetOracle & { return oracle_; }
    [[nodiscard]] auto store() -> FakeStore & { return store_; }
    [[nodiscard]] auto network() -> FleetNetwork & { return network_; }
    [[nodiscard]] auto now() const -> TimePoint { return scheduler_.now(); }
    auto run(const Duration time) -> void { scheduler_.run(time); }
    auto after(const Duration delay, std::function<void()> event) -> void { scheduler_.after(delay, std::move(event)); }
    auto randomBelow(const std::size_t bound) -> std::size_t { return random_() % bound; }
    [[nodiscard]] auto isUp(const std::size_t index) const -> bool { return nodes_[index].core != nullptr; }
    [[nodiscard]] auto backend(const std::size_t index) -> FleetBackend & { return *nodes_[index].backend; }
    [[nodiscard]] auto core(const std::size_t index) -> node::Core & { return *nodes_[index].core; }

    /*! @brief Starts a node process without any state. */
    auto start(const std::size_t index) -> void
    {
        auto &node = nodes_[index];
        node.incarnation = ++lastIncarnation_;
        node.revision = 0;
        node.isLeaving = false;
        node.pausedUntil = {};
        node.backend = std::make_unique<FleetBackend>(scheduler_, oracle_, random_(), backendHooks(index));
        node.core =
            std::make_unique<node::Core>(settingsOf(index), node.incarnation, scheduler_.clock(), coreHooks(index));
        post(index, {}, [](node::Core &core) { core.start(); });
        announce(index, node.incarnation);
    }

    /*! @brief Terminates a node process abruptly. */
    auto kill(const std::size_t index) -> void
    {
        auto &node = nodes_[index];
        if (!node.core) {
            return;
        }
        oracle_.exempt(index);
        node.incarnation = 0;
        node.inbox.clear();
        network_.closeConnectionsOf(index);
        node.core.reset();
        stoppedBackends_.push_back(std::move(node.backend));
    }

    /*! @brief Changes the address of a node that is down. */
    auto changeAddress(const std::size_t index) -> void { ++nodes_[index].addressChanges; }

    /*! @brief Suspends event processing of a node while its clock continues to advance. */
    auto pause(const std::size_t index, const Duration time) -> void
    {
        auto &node = nodes_[index];
        oracle_.exempt(index);
        node.pausedUntil = now() + time;
        after(time, [this, index, incarnation = node.incarnation] {
            auto &paused = nodes_[index];
            while (paused.incarnation == incarnation && !paused.inbox.empty()) {
                const auto event = std::move(paused.inbox.front());
                paused.inbox.pop_front();
                event(*paused.core);
            }
        });
    }

    /*! @brief Starts a graceful leave, which must finish within 20 s without cutting off requests. */
    auto leave(const std::size_t index) -> void
    {
        nodes_[index].isLeaving = true;
        nodes_[index].leftAt = now();
        post(index, {}, [](node::Core &core) { core.leave(); });
    }

    /*! @brief Sends a request of a random kind to a random node. */
    auto request(const std::size_t account) -> void
    {
        const auto kind = randomBelow(routes.size());
        const auto order = routes[kind].isOrder ? "o" + std::to_string(++lastOrder_) : std::string{};
        send(account, kind, order, 4);
    }

    /*! @brief Schedules requests of all accounts at a rate; the rate of the last account is multiplied by `excess`. */
    auto load(const Duration time, const double perSecond, const double excess) -> void
    {
        for (std::size_t account = 0; account < accountCount; ++account) {
            const auto factor = account + 1 == accountCount ? excess : 1.0;
            const auto interval =
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / (perSecond * factor)));
            for (Duration at{}; at < time; at += interval) {
                after(at + std::chrono::microseconds{randomBelow(1000)}, [this, account] { request(account); });
            }
        }
    }

    /*! @brief Withdraws the key of an account and issues a new one. */
    auto replaceKey(const std::size_t account) -> void
    {
        const auto old = keys_[account].id;
        keys_[account] = issue();
        configuration::ChangeSet change;
        change.upserts.push_back(keyDocument(account));
        change.withdrawals.push_back({"key", old});
        write(std::move(change));
        oracle_.keyWithdrawn(old, now());
    }

    /*! @brief Reclaims leases whose holder and successor are both gone, as an operator does. */
    auto reclaimLeases() -> void
    {
        for (const auto &entry : leases()) {
            const auto record = lease::parseRecord(entry.value);
            const auto holder = record ? indexOf(record->holder) : std::nullopt;
            const auto isHeld = holder && nodes_[*holder].incarnation == record->incarnation;
            if (!record || record->released || isHeld || indexOf(record->successor)) {
                continue;
            }
            const auto request = lease::reclaim(entry, "operator-" + std::to_string(entry.revision));
            if (request) {
                std::ignore = store_.memory().apply(*request, now());
            }
        }
    }

    static constexpr std::size_t accountCount = 4;

private:
    using Event = std::function<void(node::Core &)>;

    struct Route {
        std::string_view method;
        std::string_view path;
        std::size_t nested{};
        bool isOrder{};
        bool isOpen{};
    };

    static constexpr std::array<Route, 6> routes{{{"GET", "/inventory/stock", 0, false, false},
                                                  {"GET", "/shop/orders", 2, false, false},
                                                  {"POST", "/shop/orders", 1, true, false},
                                                  {"POST", "/billing/charges", 0, true, false},
                                                  {"GET", "/routes/sheets", 1, false, false},
                                                  {"GET", "/shop/prices", 0, false, true}}};

    struct Node {
        std::uint64_t incarnation{};
        std::size_t addressChanges{};
        std::unique_ptr<node::Core> core;
        std::unique_ptr<FleetBackend> backend;
        std::deque<Event> inbox;
        TimePoint pausedUntil;
        TimePoint leftAt;
        bool isLeaving{};
        configuration::Revision revision{};
    };

    struct Sent {
        std::string token;
        std::size_t account{};
        std::size_t kind{};
        int repeats{};
    };

    [[nodiscard]] auto addressOf(const std::size_t index) const -> NodeAddress
    {
        return NodeAddress{"10.0." + std::to_string(index) + "." + std::to_string(nodes_[index].addressChanges)
                           + ":7000"};
    }

    [[nodiscard]] auto settingsOf(const std::size_t index) const -> node::Settings
    {
        constexpr std::array<const char *, 4> services{"shop", "inventory", "billing", "routes"};
        node::Settings settings;
        settings.address = addressOf(index);
        settings.domain = FailureDomain{"domain-" + std::to_string(index % 3)};
        settings.service = ServiceName{services[index % services.size()]};
        settings.fleetSecret = "secret";
        return settings;
    }

    [[nodiscard]] auto indexOf(const NodeAddress &address) const -> std::optional<std::size_t>
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (addressOf(index) == address) {
                return index;
            }
        }
        return std::nullopt;
    }

    /*! @brief Runs an event at a node, after any pause; discards it when its process no longer runs. */
    auto post(const std::size_t index, const Duration delay, Event event) -> void
    {
        after(delay, [this, index, incarnation = nodes_[index].incarnation, event = std::move(event)] {
            auto &node = nodes_[index];
            if (incarnation == 0 || node.incarnation != incarnation) {
                return;
            }
            if (now() < node.pausedUntil || !node.inbox.empty()) {
                node.inbox.push_back(event);
                return;
            }
            event(*node.core);
        });
    }

    auto tick(const std::size_t index) -> void
    {
        constexpr Duration interval = std::chrono::milliseconds{20};
        after(interval, [this, index] { tick(index); });
        auto &node = nodes_[index];
        if (!node.core || now() < node.pausedUntil) {
            return;
        }
        node.core->tick();
        const auto revision = node.core->controllers().configuration().view()->revision();
        oracle_.check(revision >= node.revision, "configuration revision decreased");
        node.revision = revision;
        if (node.isLeaving) {
            checkLeave(index);
        }
    }

    auto checkLeave(const std::size_t index) -> void
    {
        auto &node = nodes_[index];
        oracle_.check(now() - node.leftAt < std::chrono::seconds{20}, "leave did not finish within 20 s");
        if (node.core->finished()) {
            oracle_.check(oracle_.openRequestsAt(index) == 0 && node.backend->running() == 0,
                          "leave finished with open requests");
            leasesHeldAtExit_ += leasesHeldBy(addressOf(index));
            kill(index);
        }
    }

    auto leases() -> std::vector<store::Entry>
    {
        store::Request request;
        request.operation = store::Operation::Watch;
        request.key = "lease/";
        return store_.memory().apply(request, now()).entries;
    }

    /*! @brief Returns the number of unreleased leases recorded in the store for a holder. */
    auto leasesHeldBy(const NodeAddress &holder) -> std::size_t
    {
        const auto entries = leases();
        return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [&](const store::Entry &entry) {
            const auto record = lease::parseRecord(entry.value);
            return record && record->holder == holder && !record->released;
        }));
    }

    auto announce(const std::size_t index, const std::uint64_t incarnation) -> void
    {
        if (nodes_[index].incarnation != incarnation) {
            return;
        }
        post(index, {}, [announcement = backend(index).announcement()](node::Core &core) {
            core.announce(announcement);
        });
        after(std::chrono::milliseconds{500}, [this, index, incarnation] { announce(index, incarnation); });
    }

    auto answerStore() -> void
    {
        store_.answerAll();
        after(std::chrono::milliseconds{2}, [this] { answerStore(); });
    }

    auto networkHooks() -> FleetNetwork::Hooks
    {
        FleetNetwork::Hooks hooks;
        hooks.deliver = [this](const std::size_t at, const std::size_t from, const std::string &bytes) {
            post(at, {}, [peer = addressOf(from), bytes](node::Core &core) { core.receive(peer, bytes); });
        };
        hooks.opened = [this](const std::size_t at, const std::size_t peer) {
            post(at, {}, [to = addressOf(peer)](node::Core &core) { core.connectionOpened(to); });
        };
        hooks.closed = [this](const std::size_t at, const std::size_t peer) {
            post(at, {}, [to = addressOf(peer)](node::Core &core) { core.connectionClosed(to); });
        };
        hooks.incarnation = [this](const std::size_t index) {
            return nodes_[index].incarnation;
        };
        return hooks;
    }

    auto coreHooks(const std::size_t index) -> node::Core::Hooks
    {
        node::Core::Hooks hooks;
        hooks.store = [this, index](store::Request request, store::Callback callback) {
            store_.hook()(
                std::move(request),
                [this, index, incarnation = nodes_[index].incarnation, callback](const store::Answer &answer) {
                    if (nodes_[index].incarnation != incarnation) {
                        return;
                    }
                    post(index, std::chrono::milliseconds{1}, [callback, answer](node::Core &core) {
                        core.run([&] { callback(answer); });
                    });
                });
        };
        hooks.send = [this, index](const NodeAddress &to, std::string bytes) {
            if (const auto peer = indexOf(to)) {
                network_.send(index, *peer, std::move(bytes));
                return;
            }
            post(index, std::chrono::milliseconds{1}, [to](node::Core &core) { core.connectionClosed(to); });
        };
        hooks.reopen = [this, index](const NodeAddress &to) {
            if (const auto peer = indexOf(to)) {
                network_.reopen(index, *peer);
            }
        };
        hooks.callBackend = [this, index](const call::BackendCall &call) {
            backend(index).call(call);
        };
        hooks.cancelBackend = [this, index](const RequestId &id) {
            backend(index).cancel(id);
        };
        hooks.answer = [this, index](const node::DoorNumber to, const net::HttpResponse &response) {
            if (to.door == call::Origin::Caller) {
                answered(to.number, response);
                return;
            }
            backend(index).nestedAnswered(to.number, response);
        };
        return hooks;
    }

    auto backendHooks(const std::size_t index) -> FleetBackend::Hooks
    {
        const auto incarnation = nodes_[index].incarnation;
        const auto atNode = [this, index, incarnation](Event event) {
            if (nodes_[index].incarnation == incarnation) {
                post(index, {}, std::move(event));
            }
        };
        FleetBackend::Hooks hooks;
        hooks.ended = [atNode](const RequestId &id, const call::BackendResult &result) {
            atNode([id, result](node::Core &core) { core.backendAnswered(id, result); });
        };
        hooks.nested = [atNode](const std::uint64_t number, const net::HttpRequest &request) {
            atNode([number, request](node::Core &core) {
                core.handle({call::Origin::BackendServer, number}, request);
            });
        };
        hooks.abandoned = [atNode](const std::uint64_t number) {
            atNode([number](node::Core &core) { core.gone({call::Origin::BackendServer, number}); });
        };
        return hooks;
    }

    auto send(const std::size_t account, const std::size_t kind, const std::string &order, const int repeats) -> void
    {
        const auto index = randomBelow(nodeCount);
        const auto &node = nodes_[index];
        if (!node.core || node.isLeaving || now() < node.pausedUntil) {
            return;
        }
        const auto &route = routes[kind];
        const auto number = ++lastRequest_;
        const auto timeout = std::chrono::milliseconds{500 + randomBelow(1500)};
        ClientRequest kept;
        kept.token = "t" + std::to_string(number);
        kept.account = route.isOpen ? std::string{} : accountName(account);
        kept.keyId = route.isOpen ? std::string{} : keys_[account].id;
        kept.order = order;
        kept.nested = route.nested;
        kept.node = index;
        kept.arrival = now();
        kept.deadline = now() + timeout;
        net::HttpRequest request;
        request.method = route.method;
        request.path = route.path;
        request.headers[std::string{tokenField}] = kept.token;
        request.headers[std::string{filter::timeoutField}] = std::to_string(timeout.count());
        if (!route.isOpen) {
            request.headers[std::string{filter::apiKeyField}] = keys_[account].text;
        }
        if (!order.empty()) {
            request.headers[std::string{filter::idempotencyField}] = order;
        }
        sent_[number] = {kept.token, account, kind, repeats};
        oracle_.sent(std::move(kept));
        post(index, {}, [number, request](node::Core &core) { core.handle({call::Origin::Caller, number}, request); });
        if (randomBelow(50) == 0) {
            post(index, std::chrono::milliseconds{1 + randomBelow(30)}, [number](node::Core &core) {
                core.gone({call::Origin::Caller, number});
            });
        }
    }

    auto answered(const std::uint64_t number, const net::HttpResponse &response) -> void
    {
        const auto &sent = sent_.at(number);
        oracle_.answered(sent.token, response, now(), std::chrono::milliseconds{45});
        const auto &order = oracle_.requests().at(sent.token).order;
        const auto isRepeated = response.status >= 300 || randomBelow(10) == 0;
        if (!order.empty() && sent.repeats > 0 && isRepeated) {
            after(std::chrono::milliseconds{randomBelow(400)},
                  [this, sent, order] { send(sent.account, sent.kind, order, sent.repeats - 1); });
        }
    }

    static auto accountName(const std::size_t account) -> std::string { return "account-" + std::to_string(account); }

    auto issue() -> configuration::IssuedKey
    {
        std::array<unsigned char, configuration::keyIdLength> id{};
        std::array<unsigned char, configuration::keySecretBytes> secret{};
        for (auto &byte : id) {
            byte = static_cast<unsigned char>(random_());
        }
        for (auto &byte : secret) {
            byte = static_cast<unsigned char>(random_());
        }
        return configuration::makeKey(id, secret);
    }

    static auto document(const nlohmann::json &json) -> record::Document
    {
        return {{json.at("record"), json.at("name")}, json.dump()};
    }

    [[nodiscard]] auto keyDocument(const std::size_t account) const -> record::Document
    {
        const auto &key = keys_[account];
        return document({{"schema", 1},
                         {"record", "key"},
                         {"name", key.id},
                         {"hash", key.hash},
                         {"account", accountName(account)}});
    }

    auto write(configuration::ChangeSet change) -> void
    {
        change.revision = ++revision_;
        change.writeId = "write-" + std::to_string(revision_);
        store::Request request;
        request.operation = store::Operation::Put;
        request.key = configuration::changeKey(change.revision);
        request.value = nlohmann::json(change).dump();
        oracle_.check(store_.memory().apply(request, now()).status == store::Status::Ok, "change set was not written");
    }

    auto writeRecords() -> void
    {
        configuration::ChangeSet change;
        for (std::size_t account = 0; account < accountCount; ++account) {
            keys_[account] = issue();
            change.upserts.push_back(document({{"schema", 1},
                                               {"record", "account"},
                                               {"name", accountName(account)},
                                               {"rate", rate},
                                               {"burst", burst}}));
            change.upserts.push_back(keyDocument(account));
        }
        for (const auto &route : routes) {
            addKind(change, route);
        }
        addKind(change, {"GET", "/billing/balance", 0, false, false});
        change.upserts.push_back(document({{"schema", 1},
                                           {"record", "fleet"},
                                           {"name", "fleet"},
                                           {"retry_limit", 3},
                                           {"order_shards", plan_.shards},
                                           {"quota_shares", plan_.shards},
                                           {"order_retention_ms", 20000}}));
        write(std::move(change));
    }

    static auto addKind(configuration::ChangeSet &change, const Route &route) -> void
    {
        const std::string path{route.path};
        const auto end = path.find('/', 1);
        change.upserts.push_back(
            document({{"schema", 1},
                      {"record", "kind"},
                      {"name", std::string{route.method} + "-" + path.substr(1, end - 1) + "-" + path.substr(end + 1)},
                      {"service", path.substr(1, end - 1)},
                      {"method", route.method},
                      {"path", path.substr(end)},
                      {"importance", 1},
                      {"open", route.isOpen},
                      {"idempotent", !route.isOrder},
                      {"timeout_ms", 2000}}));
    }

public:
    [[nodiscard]] auto leasesHeldAtExit() const -> std::size_t { return leasesHeldAtExit_; }

    /*! @brief Returns the names of all quota and order leases that any node has held so far, in order. */
    [[nodiscard]] auto leasesEverAcquired() -> std::vector<std::string>
    {
        std::vector<std::string> names;
        for (const auto &entry : leases()) {
            const auto name = entry.key.substr(entry.key.find('/') + 1);
            if (!name.starts_with("cell/")) {
                names.push_back(name);
            }
        }
        return names;
    }

private:
    Plan plan_;
    std::mt19937_64 random_;
    Scheduler scheduler_;
    FleetOracle oracle_;
    FakeStore store_;
    FleetNetwork network_;
    std::vector<Node> nodes_;
    std::vector<std::unique_ptr<FleetBackend>> stoppedBackends_;
    std::array<configuration::IssuedKey, accountCount> keys_;
    std::map<std::uint64_t, Sent> sent_;
    std::uint64_t lastIncarnation_{};
    std::uint64_t lastRequest_{};
    std::uint64_t lastOrder_{};
    configuration::Revision revision_{};
    std::size_t leasesHeldAtExit_{};
};

} // namespace jasminelatch::test

#endif

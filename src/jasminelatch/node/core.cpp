#include "core.hpp"

#include <jasminelatch/wire/codec.hpp>

#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

#include <type_traits>
#include <utility>

namespace jasminelatch::node {

namespace internal {

template<typename Message, typename... Alternatives>
constexpr auto isOneOf = (std::is_same_v<Message, Alternatives> || ...);

auto encodeText(const wire::Message &message) -> std::string
{
    const auto bytes = wire::encode(message);
    return {bytes.begin(), bytes.end()};
}

auto latencies(const metrics::LatencySummary &summary) -> nlohmann::json
{
    return {{"count", summary.count()},
            {"mean_us", summary.mean().count()},
            {"median_us", summary.median().count()},
            {"p99_us", summary.percentile99().count()},
            {"max_us", summary.maximum().count()}};
}

} // namespace internal

Core::Core(const Settings &settings, const std::uint64_t incarnation, const Clock &clock, Hooks hooks)
    : self_{settings.address}
    , hooks_{std::move(hooks)}
    , controllers_{settings, incarnation, clock, counters_, controllerHooks()}
    , requestPath_{settings, incarnation, controllers_, clock, counters_, requestHooks()}
{
}

auto Core::controllerHooks() -> Controllers::Hooks
{
    Controllers::Hooks hooks;
    hooks.store = [this](store::Request request, store::Callback callback) {
        counters_.add("store.calls");
        hooks_.store(std::move(request), std::move(callback));
    };
    hooks.send = [this](const NodeAddress &to, wire::Message message) {
        send(to, std::move(message));
    };
    hooks.endpointsChanged = [this](const ServiceName &service) {
        requestPath_.endpointsChanged(service);
    };
    hooks.viewChanged = [](const configuration::View &) {
    };
    return hooks;
}

auto Core::requestHooks() -> RequestPath::Hooks
{
    RequestPath::Hooks hooks;
    hooks.send = [this](const NodeAddress &to, wire::Message message) {
        send(to, std::move(message));
    };
    hooks.resend = [this](const NodeAddress &to, const std::string_view bytes) {
        hooks_.send(to, std::string{bytes});
    };
    hooks.encode = [](const wire::Message &message) {
        return internal::encodeText(message);
    };
    hooks.reopen = [this](const NodeAddress &peer) {
        hooks_.reopen(peer);
    };
    hooks.callBackend = [this](const call::BackendCall &call) {
        hooks_.callBackend(call);
    };
    hooks.cancelBackend = [this](const RequestId &attempt) {
        hooks_.cancelBackend(attempt);
    };
    hooks.answer = [this](const DoorNumber to, net::HttpResponse response) {
        hooks_.answer(to, std::move(response));
    };
    return hooks;
}

auto Core::send(const NodeAddress &to, wire::Message message) -> void
{
    if (to == self_) {
        local_.push_back({std::move(message)});
        return;
    }
    hooks_.send(to, internal::encodeText(message));
}

auto Core::deliver(const NodeAddress &from, const wire::Message &message) -> void
{
    std::visit(
        [&](const auto &module) {
            using Module = std::decay_t<decltype(module)>;
            if constexpr (internal::isOneOf<Module, call::Message, connection::Message, retry::Message>) {
                requestPath_.receive(from, module);
            } else {
                controllers_.receive(from, module);
            }
        },
        message);
}

auto Core::deliverLocal() -> void
{
    while (!local_.empty()) {
        const auto local = std::move(local_.front());
        local_.pop_front();
        deliver(self_, local.message);
    }
}

auto Core::run(const std::function<void()> &event) -> void
{
    event();
    deliverLocal();
}

auto Core::start() -> void
{
    run([this] { controllers_.start(); });
}

auto Core::tick() -> void
{
    run([this] {
        controllers_.tick();
        requestPath_.tick();
        syncAnnouncement();
    });
}

auto Core::syncAnnouncement() -> void
{
    if (announced_ && !requestPath_.executor().backend()) {
        announced_ = false;
        controllers_.announce(membership::EndpointState::Draining, 0, 0);
    }
}

auto Core::handle(const DoorNumber from, net::HttpRequest request) -> void
{
    run([&] { requestPath_.handle(from, std::move(request)); });
}

auto Core::gone(const DoorNumber from) -> void
{
    run([&] { requestPath_.gone(from); });
}

auto Core::announce(call::Announcement announcement) -> void
{
    run([&] {
        // Without records this node would refuse the calls that its backend server makes while it runs a request.
        const auto hasRecords = controllers_.configuration().view()->revision() > 0;
        if (hasRecords && !leaving_) {
            announced_ = true;
            controllers_.announce(announcement.state, announcement.slots, announcement.connections);
        }
        requestPath_.executor().announce(std::move(announcement));
    });
}

auto Core::backendAnswered(const RequestId &attempt, call::BackendResult result) -> void
{
    run([&] { requestPath_.backendAnswered(attempt, std::move(result)); });
}

auto Core::receive(const NodeAddress &from, const std::string_view bytes) -> void
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    run([&] {
        requestPath_.heard(from);
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(message, wire::decode({data, bytes.size()}));
                deliver(from, message);
                return {};
            },
            [&](const wire::DecodeError &error) {
                counters_.add("wire.malformed");
                LOG(WARNING) << "wire: dropped a message of " << from << ", " << error.reason;
            },
            [&] { counters_.add("wire.malformed"); });
    });
}

auto Core::connectionOpened(const NodeAddress &peer) -> void
{
    run([&] { requestPath_.connectionOpened(peer); });
}

auto Core::connectionClosed(const NodeAddress &peer) -> void
{
    run([&] { requestPath_.connectionClosed(peer); });
}

auto Core::leave() -> void
{
    if (leaving_) {
        return;
    }
    leaving_ = true;
    run([this] {
        requestPath_.leave();
        controllers_.leave();
    });
}

auto Core::finished() -> bool
{
    return leaving_ && requestPath_.openRequests() == 0 && controllers_.hasLeft();
}

auto Core::status() -> nlohmann::json
{
    auto &configuration = controllers_.configuration();
    auto &membership = controllers_.membership();
    auto &executor = requestPath_.executor();
    nlohmann::json rights = nlohmann::json::array();
    for (const auto &right : controllers_.lease().heldRights()) {
        rights.push_back(right);
    }
    return {{"address", self_},
            {"version", JASMINELATCH_VERSION},
            {"configuration_revision", configuration.view()->revision()},
            {"configuration_fresh", configuration.fresh()},
            {"membership", membership::statusName(membership.status())},
            {"fleet_size", membership.fleetSize()},
            {"is_cell_holder", membership.isCellHolder()},
            {"rights", rights},
            {"backend_server", executor.backend().has_value()},
            {"announced", announced_},
            {"limit", executor.admission().limit()},
            {"in_flight", executor.admission().inFlight()},
            {"queued", executor.admission().queued()},
            {"open_requests", requestPath_.openRequests()},
            {"answered", internal::latencies(requestPath_.statistics().answered)},
            {"refused", internal::latencies(requestPath_.statistics().refused)}};
}

} // namespace jasminelatch::node

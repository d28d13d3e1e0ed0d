#include "process_fleet.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <future>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace jasminelatch::test {

namespace internal {

constexpr std::uint16_t portsPerVm = 6;
constexpr std::uint16_t operatorPortOffset = 1;
constexpr std::uint16_t callerPortOffset = 2;
constexpr std::uint16_t localPortOffset = 3;
constexpr std::uint16_t backendPortOffset = 4;
constexpr std::uint16_t listenPortOffset = 5;
constexpr std::uint32_t connections = 400;
constexpr auto commandTimeout = std::chrono::seconds{30};
constexpr std::string_view secret = "process-test";

auto loopbackAddress(const int port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

auto program(const std::string &name) -> std::string
{
    return std::string{JASMINELATCH_PROGRAMS} + "/" + name;
}

auto makeTemporaryFolder() -> std::filesystem::path
{
    auto text = (std::filesystem::temp_directory_path() / "jasminelatch-XXXXXX").string();
    if (::mkdtemp(text.data()) == nullptr) {
        throw std::runtime_error{"cannot create a temporary folder"};
    }
    return text;
}

auto write(const std::filesystem::path &file, const nlohmann::json &json) -> void
{
    std::ofstream{file} << json.dump(2);
}

auto read(const std::filesystem::path &file) -> std::string
{
    std::ostringstream text;
    text << std::ifstream{file}.rdbuf();
    return text.str();
}

/*! @brief Performs a call over persistent connections, so that polling does not exhaust the ephemeral ports. */
auto perform(net::HttpCall call) -> net::HttpResult
{
    static net::HttpClient client{64};
    std::promise<net::HttpResult> promise;
    client.send(std::move(call), [&](net::HttpResult result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

auto get(const std::string &url) -> nlohmann::json
{
    net::HttpCall call;
    call.url = url;
    const auto result = perform(std::move(call));
    if (result.end != net::HttpEnd::Answered) {
        return nullptr;
    }
    auto json = nlohmann::json::parse(result.response.body, nullptr, false);
    return json.is_discarded() ? nlohmann::json{} : json;
}

auto put(const std::string &url, const nlohmann::json &json) -> void
{
    net::HttpCall call;
    call.method = "PUT";
    call.url = url;
    call.body = json.dump();
    EXPECT_EQ(perform(std::move(call)).end, net::HttpEnd::Answered) << url;
}

} // namespace internal

auto Vm::address() const -> std::string
{
    return internal::loopbackAddress(ports);
}

auto Vm::operatorUrl() const -> std::string
{
    return "http://" + internal::loopbackAddress(ports + internal::operatorPortOffset);
}

auto Vm::callerUrl() const -> std::string
{
    return "http://" + internal::loopbackAddress(ports + internal::callerPortOffset);
}

auto Vm::backendUrl() const -> std::string
{
    return "http://" + internal::loopbackAddress(ports + internal::backendPortOffset);
}

auto isCompleteAnswer(const Reply &reply, const std::string &sent) -> bool
{
    const auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (!reply.ok() || !json.is_object() || json.value("body", "") != sent) {
        return false;
    }
    const auto text = [&](const char *field) {
        return json.value(field, std::string{});
    };
    const auto content =
        text("request_id") + text("service") + text("path") + text("body") + text("nested") + text("filling");
    return text("request_id") == reply.requestId
        && json.value("checksum", std::size_t{}) == std::hash<std::string>{}(content);
}

ProcessFleet::ProcessFleet(FleetPlan plan)
    : plan_{std::move(plan)}
    , folder_{internal::makeTemporaryFolder()}
    , storePort_{freePorts(1)}
    , store_{{internal::program("jasminelatch-store"), "--port", std::to_string(storePort_)}, folder_ / "store.log"}
{
    const auto records = folder_ / "records";
    std::filesystem::create_directory(records);
    internal::write(records / "records.json", plan_.records);
    const auto applied = waitUntil([&] { return command({"apply", records.string()}).exit == 0; });
    EXPECT_TRUE(applied) << command({"apply", records.string()}).output;
    for (const auto &account : plan_.accounts) {
        keys_[account] = issueKey(account);
    }
    vms_.resize(plan_.vms.size());
    for (std::size_t index = 0; index < vms_.size(); ++index) {
        vms_[index].plan = plan_.vms[index];
        replaceVm(index);
    }
}

ProcessFleet::~ProcessFleet()
{
    vms_.clear();
    store_.kill();
    if (!::testing::Test::HasFailure()) {
        std::filesystem::remove_all(folder_);
    }
}

auto ProcessFleet::storeUrl() const -> std::string
{
    return "http://" + internal::loopbackAddress(storePort_);
}

auto ProcessFleet::replaceVm(const std::size_t index) -> void
{
    auto &vm = vms_[index];
    vm.relay.reset();
    vm.ports = freePorts(internal::portsPerVm);
    if (plan_.relayed) {
        vm.relay = std::make_unique<Relay>(vm.ports, static_cast<std::uint16_t>(vm.ports + internal::listenPortOffset));
    }
    startNode(index);
    startBackend(index);
}

auto ProcessFleet::startNode(const std::size_t index) -> void
{
    auto &vm = vms_[index];
    nlohmann::json settings{{"address", vm.address()},
                            {"failure_domain", vm.plan.domain},
                            {"service", vm.plan.service},
                            {"store", storeUrl()},
                            {"fleet_secret", internal::secret},
                            {"modes", plan_.modes},
                            {"ports",
                             {{"operators", vm.ports + internal::operatorPortOffset},
                              {"callers", vm.ports + internal::callerPortOffset},
                              {"local", vm.ports + internal::localPortOffset}}}};
    if (plan_.relayed) {
        settings["listen"] = internal::loopbackAddress(vm.ports + internal::listenPortOffset);
    }
    const auto name = "node-" + std::to_string(index);
    internal::write(folder_ / (name + ".json"), settings);
    vm.node = Process{{internal::program("jasminelatch-node"), folder_ / (name + ".json")}, folder_ / (name + ".log")};
}

auto ProcessFleet::startBackend(const std::size_t index) -> void
{
    auto &vm = vms_[index];
    const nlohmann::json settings{{"port", vm.ports + internal::backendPortOffset},
                                  {"service", vm.plan.service},
                                  {"node", "http://" + internal::loopbackAddress(vm.ports + internal::localPortOffset)},
                                  {"slots", plan_.slots},
                                  {"connections", internal::connections},
                                  {"queue", plan_.queue},
                                  {"routes", plan_.routes.at(vm.plan.service)}};
    const auto name = "backend-" + std::to_string(index);
    internal::write(folder_ / (name + ".json"), settings);
    vm.backend =
        Process{{internal::program("jasminelatch-backend"), folder_ / (name + ".json")}, folder_ / (name + ".log")};
}

auto ProcessFleet::query(const std::size_t index, const std::string &path) const -> nlohmann::json
{
    return internal::get(vms_[index].operatorUrl() + path);
}

auto ProcessFleet::isReady(const std::size_t index) const -> bool
{
    const auto status = query(index, "/status");
    const auto member = status.is_object() ? status.value("membership", "") : "";
    return (member == "member" || member == "holder") && status.value("configuration_fresh", false)
        && status.value("backend_server", false) && status.value("fleet_size", std::size_t{}) == size();
}

auto ProcessFleet::areLeasesHeld() const -> bool
{
    const auto &fleet = *std::find_if(plan_.records.begin(), plan_.records.end(), [](const auto &record) {
        return record.value("record", "") == "fleet";
    });
    const auto wanted = fleet.value("order_shards", std::size_t{8}) + fleet.value("quota_shares", std::size_t{8});
    std::size_t held = 0;
    for (std::size_t index = 0; index < size(); ++index) {
        const auto status = query(index, "/status");
        if (status.is_object()) {
            const auto &leases = status.at("rights");
            held += static_cast<std::size_t>(std::count_if(leases.begin(), leases.end(), [](const auto &lease) {
                return !lease.template get<std::string>().starts_with("cell/");
            }));
        }
    }
    return held == wanted;
}

auto ProcessFleet::waitReady() -> bool
{
    const auto ready = waitUntil([this] {
        for (std::size_t index = 0; index < size(); ++index) {
            if (!isReady(index)) {
                return false;
            }
        }
        return areLeasesHeld();
    });
    for (std::size_t index = 0; !ready && index < size(); ++index) {
        const auto status = query(index, "/status");
        ADD_FAILURE() << "node not ready before the timeout: " << vms_[index].address() << " " << status.dump();
    }
    return ready;
}

auto ProcessFleet::saveRuns(const std::size_t index) -> void
{
    auto runs = internal::get(vms_[index].backendUrl() + "/_runs");
    for (auto &run : runs) {
        run["service"] = vms_[index].plan.service;
        savedRuns_.push_back(std::move(run));
    }
}

auto ProcessFleet::runs(const std::string &service) -> std::vector<nlohmann::json>
{
    std::vector<nlohmann::json> all;
    std::copy_if(savedRuns_.begin(), savedRuns_.end(), std::back_inserter(all), [&](const auto &run) {
        return run.at("service") == service;
    });
    for (const auto &vm : vms_) {
        if (vm.plan.service != service || !vm.backend.running()) {
            continue;
        }
        const auto runs = internal::get(vm.backendUrl() + "/_runs");
        EXPECT_TRUE(runs.is_array()) << "backend server did not return its executed requests";
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

auto ProcessFleet::runCount(const std::size_t index) const -> std::size_t
{
    return internal::get(vms_[index].backendUrl() + "/_runs").size();
}

auto ProcessFleet::holderOf(const std::string &lease) const -> std::optional<std::size_t>
{
    for (std::size_t index = 0; index < size(); ++index) {
        const auto status = query(index, "/status");
        if (status.is_object() && std::count(status.at("rights").begin(), status.at("rights").end(), lease) > 0) {
            return index;
        }
    }
    return std::nullopt;
}

auto ProcessFleet::cellHolder() const -> std::optional<std::size_t>
{
    for (std::size_t index = 0; index < size(); ++index) {
        const auto status = query(index, "/status");
        if (status.is_object() && status.value("is_cell_holder", false)) {
            return index;
        }
    }
    return std::nullopt;
}

auto ProcessFleet::setBackendFaults(const std::size_t index, const nlohmann::json &faults) const -> void
{
    internal::put(vms_[index].backendUrl() + "/_control", faults);
}

auto ProcessFleet::setStoreFaults(const nlohmann::json &faults) const -> void
{
    internal::put(storeUrl() + "/v1/faults", faults);
}

auto ProcessFleet::startCommand(std::vector<std::string> arguments, const std::filesystem::path &output) const
    -> Process
{
    arguments.insert(arguments.begin(), {internal::program("jasminelatchctl"), "--store", storeUrl()});
    return Process{arguments, output};
}

auto ProcessFleet::command(std::vector<std::string> arguments) const -> CommandResult
{
    static std::atomic<int> number{0};
    const auto output = folder_ / ("command-" + std::to_string(++number) + ".log");
    auto process = startCommand(std::move(arguments), output);
    const auto exit = process.wait(internal::commandTimeout);
    return {exit.value_or(-1), internal::read(output)};
}

auto ProcessFleet::issueKey(const std::string &account) const -> std::string
{
    const auto issued = command({"--json", "keys", "issue", account});
    const auto json = nlohmann::json::parse(issued.output, nullptr, false);
    EXPECT_TRUE(json.is_object()) << issued.output;
    return json.is_object() ? json.value("key", "") : "";
}

} // namespace jasminelatch::test

#ifndef JASMINELATCH_TEST_SUPPORT_FLEET_BACKEND_HPP
#define JASMINELATCH_TEST_SUPPORT_FLEET_BACKEND_HPP

#include "fleet_network.hpp"
#include "fleet_oracle.hpp"

#include <jasminelatch/call/executor.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::test {

/**
 * @brief Simulated backend server of one node, with slots, service times, nested calls and faults.
 */
class FleetBackend
{
public:
    /*! @brief Calls from the server to its node. */
    struct Hooks {
        std::function<void(const RequestId &, call::BackendResult)> ended; /*!< A call has completed or timed out. */
        std::function<void(std::uint64_t, net::HttpRequest)> nested; /*!< The server makes a nested call. */
        std::function<void(std::uint64_t)> abandoned; /*!< The server no longer waits for a nested call. */
    };

    /*! @brief Faults to inject. */
    struct Faults {
        bool isUnresponsive{}; /*!< Executes calls but does not answer. */
        bool isFailing{}; /*!< Answers half of all calls with status 500. */
        int latencyFactor{1}; /*!< Factor applied to service times. */
        std::optional<TimePoint> drainingSince; /*!< Start of draining; unset while it accepts work. */
    };

    /*! @brief Number of requests that the server announces to run at once; it refuses calls only beyond two more. */
    static constexpr std::uint32_t slots = 12;

    FleetBackend(Scheduler &scheduler, FleetOracle &oracle, const std::uint64_t seed, Hooks hooks)
        : scheduler_{&scheduler}
        , oracle_{&oracle}
        , random_{seed}
        , hooks_{std::move(hooks)}
    {
    }

    [[nodiscard]] auto faults() -> Faults & { return faults_; }
    [[nodiscard]] auto running() const -> std::size_t { return runs_.size(); }

    [[nodiscard]] auto announcement() const -> call::Announcement
    {
        const auto state =
            faults_.drainingSince ? membership::EndpointState::Draining : membership::EndpointState::Ready;
        return {"http://backend", slots, 100, state};
    }

    auto call(const call::BackendCall &call) -> void
    {
        const auto now = scheduler_->now();
        oracle_->check(!faults_.drainingSince || now - *faults_.drainingSince <= std::chrono::seconds{2},
                       "call sent more than 2 s after draining was announced");
        if (runs_.size() >= slots + 2) {
            const net::HttpResponse shed{503, {{std::string{filter::outcomeField}, "not_run"}}, ""};
            scheduler_->after(std::chrono::milliseconds{1}, [this, id = call.id, shed] {
                hooks_.ended(id, {call::BackendEnd::Answered, shed});
            });
            return;
        }
        oracle_->ran(call.headers, call.url, call.body, now);
        runs_.emplace(call.id, Run{call, ++lastRun_, {}, {}, faults_.isUnresponsive});
        scheduler_->after(call.timeout, [this, id = call.id] { end(id, {call::BackendEnd::TimedOut, {}}); });
        scheduler_->after(work(), [this, id = call.id] { makeNestedCalls(id); });
    }

    auto cancel(const RequestId &id) -> void
    {
        const auto run = runs_.find(id);
        if (run == runs_.end()) {
            return;
        }
        for (const auto &[number, isOpen] : run->second.open) {
            scheduler_->after({}, [this, abandoned = number] { hooks_.abandoned(abandoned); });
            parents_.erase(number);
        }
        runs_.erase(run);
    }

    /*! @brief Handles the answer to a nested call. */
    auto nestedAnswered(const std::uint64_t number, const net::HttpResponse &response) -> void
    {
        const auto parent = parents_.find(number);
        if (parent == parents_.end()) {
            return;
        }
        const auto id = parent->second;
        parents_.erase(parent);
        auto &run = runs_.at(id);
        run.open.erase(number);
        run.nested.push_back(response);
        if (run.open.empty()) {
            scheduler_->after(work(), [this, id] { reply(id); });
        }
    }

private:
    struct Run {
        call::BackendCall call;
        std::uint64_t number{};
        std::map<std::uint64_t, bool> open;
        std::vector<net::HttpResponse> nested;
        bool isUnresponsive{};
    };

    auto work() -> Duration { return std::chrono::microseconds{(1000 + random_() % 6000) * faults_.latencyFactor}; }

    auto makeNestedCalls(const RequestId &id) -> void
    {
        const auto run = runs_.find(id);
        if (run == runs_.end()) {
            return;
        }
        const auto &call = run->second.call;
        const auto matches = [&](const std::string_view path) {
            return call.url.find(path) != std::string::npos;
        };
        std::vector<net::HttpRequest> requests;
        if (matches("/orders") && call.method == "POST") {
            requests.push_back(request("POST", "/billing/charges", run->second));
        } else if (matches("/orders")) {
            requests.push_back(request("GET", "/inventory/stock", run->second));
            requests.push_back(request("GET", "/billing/balance", run->second));
        } else if (matches("/sheets")) {
            requests.push_back(request("GET", "/inventory/stock", run->second));
        }
        if (requests.empty()) {
            reply(id);
            return;
        }
        for (const auto &each : requests) {
            const auto number = ++lastNested_;
            run->second.open.emplace(number, true);
            parents_.emplace(number, id);
            scheduler_->after({}, [this, number, each] { hooks_.nested(number, each); });
        }
    }

    static auto request(const std::string &method, const std::string &path, const Run &run) -> net::HttpRequest
    {
        net::HttpRequest request;
        request.method = method;
        request.path = path;
        const auto &headers = run.call.headers;
        request.headers[std::string{filter::ticketField}] = net::header(headers, filter::ticketField);
        request.headers[std::string{tokenField}] =
            std::string{net::header(headers, tokenField)} + "/" + run.call.id.text() + path.substr(1, 3);
        if (method == "POST") {
            request.headers[std::string{filter::idempotencyField}] =
                std::string{net::header(headers, filter::idempotencyField)} + "-charge";
        }
        return request;
    }

    auto reply(const RequestId &id) -> void
    {
        const auto run = runs_.find(id);
        if (run == runs_.end() || run->second.isUnresponsive) {
            return;
        }
        const auto &headers = run->second.call.headers;
        nlohmann::json nested = nlohmann::json::array();
        auto isSuccessful = !faults_.isFailing || random_() % 2 == 0;
        for (const auto &each : run->second.nested) {
            isSuccessful = isSuccessful && each.status < 300;
            nested.push_back(each.status);
        }
        const nlohmann::json body{{"token", net::header(headers, tokenField)},
                                  {"order", net::header(headers, filter::idempotencyField)},
                                  {"nested", nested}};
        end(id,
            {call::BackendEnd::Answered,
             {isSuccessful ? 200 : 500, {{"Content-Type", "application/json"}}, body.dump()}});
    }

    auto end(const RequestId &id, call::BackendResult result) -> void
    {
        if (!runs_.contains(id)) {
            return;
        }
        cancel(id);
        hooks_.ended(id, std::move(result));
    }

    Scheduler *scheduler_;
    FleetOracle *oracle_;
    std::mt19937_64 random_;
    Hooks hooks_;
    Faults faults_;
    std::map<RequestId, Run> runs_;
    std::map<std::uint64_t, RequestId> parents_;
    std::uint64_t lastRun_{};
    std::uint64_t lastNested_{};
};

} // namespace jasminelatch::test

#endif

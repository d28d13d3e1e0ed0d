#ifndef JASMINELATCH_TEST_SUPPORT_FLEET_ORACLE_HPP
#define JASMINELATCH_TEST_SUPPORT_FLEET_ORACLE_HPP

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/filter/fields.hpp>
#include <jasminelatch/net/http.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jasminelatch::test {

/*! @brief Header field by which backend servers and the oracle identify a request. */
inline constexpr std::string_view tokenField = "X-Token";

/*! @brief Client request tracked by the oracle. */
struct ClientRequest {
    std::string token; /*!< Unique token; nested calls append their path to it. */
    std::string account; /*!< Client account; empty on open routes. */
    std::string keyId; /*!< Id of the API key sent with the request. */
    std::string order; /*!< Idempotency key; empty for idempotent kinds. */
    std::size_t nested{}; /*!< Number of nested answers in a complete answer. */
    std::size_t node{}; /*!< Entry node. */
    TimePoint arrival; /*!< Time at which it was sent. */
    TimePoint deadline; /*!< Time by which it must be answered. */
    std::vector<TimePoint> runs; /*!< Times at which backend servers began to execute it. */
    std::string requestId; /*!< Request id seen by the backend server. */
    std::optional<net::HttpResponse> answer; /*!< Answer, once received. */
    bool isExempt{}; /*!< Exempt from deadline checks: its entry node was killed or paused. */
    bool isNotRun{}; /*!< Its answer states that it was not executed. */
};

/**
 * @brief Checks the invariants of a fleet during a simulation and collects violations.
 */
class FleetOracle
{
public:
    /*! @brief Limits set in the configuration records of the simulation. */
    struct Limits {
        double rate{}; /*!< Rate of every account, in requests per second. */
        double burst{}; /*!< Token bucket burst of every account. */
        std::size_t retries{}; /*!< Maximum number of retries in the call tree of one client request. */
    };

    explicit FleetOracle(const Limits limits)
        : limits_{limits}
    {
    }

    auto sent(ClientRequest request) -> void
    {
        const auto token = request.token;
        requests_.emplace(token, std::move(request));
    }

    auto keyWithdrawn(const std::string &keyId, const TimePoint now) -> void { withdrawnKeys_.emplace(keyId, now); }

    /*! @brief Records that a backend server begins to execute a call. */
    auto ran(const net::Headers &headers, const std::string &url, const std::string &body, const TimePoint now) -> void
    {
        check(!containsKey(headers, url, body), "API key exposed to a backend server");
        const std::string callPath{net::header(headers, tokenField)};
        auto &request = requests_.at(callPath.substr(0, callPath.find('/')));
        const std::string order{net::header(headers, filter::idempotencyField)};
        ++runsByCallPath_[callPath];
        check(order.empty() || ++runsByOrder_[request.account + " " + order] == 1, "order executed twice: " + order);
        check(!request.isNotRun, "executed after the answer not_run: " + callPath);
        if (callPath != request.token) {
            return;
        }
        request.runs.push_back(now);
        request.requestId = net::header(headers, filter::requestIdField);
        const auto withdrawal = withdrawnKeys_.find(request.keyId);
        check(withdrawal == withdrawnKeys_.end() || now - withdrawal->second <= std::chrono::seconds{7},
              "executed more than 7 s after its key was withdrawn");
    }

    auto
    answered(const std::string &token, const net::HttpResponse &response, const TimePoint now, const Duration slack)
        -> void
    {
        auto &request = requests_.at(token);
        check(!request.answer, "answered twice: " + token);
        const auto late = now - request.deadline;
        check(request.isExempt || late <= slack,
              "answered late: " + token + " by " + std::to_string(late.count()) + " us");
        request.answer = response;
        if (response.status < 300) {
            checkCompleteAnswer(request, response);
            return;
        }
        request.isNotRun = net::header(response.headers, filter::outcomeField) == "not_run";
        check(!request.isNotRun || request.runs.empty(), "answered not_run although executed: " + token);
    }

    /*! @brief Exempts the open requests of an entry node that is killed or paused from deadline checks. */
    auto exempt(const std::size_t node) -> void
    {
        for (auto &[token, request] : requests_) {
            request.isExempt = request.isExempt || (request.node == node && !request.answer);
        }
    }

    [[nodiscard]] auto openRequestsAt(const std::size_t node) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(requests_.begin(), requests_.end(), [&](const auto &entry) {
            return entry.second.node == node && !entry.second.answer && !entry.second.isExempt;
        }));
    }

    /*! @brief Checks invariants that can be evaluated only at the end of a simulation. */
    auto finish(const TimePoint now) -> void
    {
        for (const auto &[token, request] : requests_) {
            const auto isDue = request.deadline + std::chrono::seconds{1} < now;
            check(request.answer || request.isExempt || !isDue, "never answered: " + token);
        }
        checkRetries();
        checkRates();
    }

    auto check(const bool holds, const std::string &what) -> void
    {
        if (!holds) {
            violations_.insert(what);
        }
    }

    [[nodiscard]] auto violations() const -> const std::set<std::string> & { return violations_; }
    [[nodiscard]] auto requests() const -> const std::map<std::string, ClientRequest> & { return requests_; }

private:
    [[nodiscard]] static auto containsKey(const net::Headers &headers, const std::string &url, const std::string &body)
        -> bool
    {
        constexpr std::string_view keyPrefix = "jl_";
        const auto inField = std::any_of(headers.begin(), headers.end(), [&](const auto &field) {
            return field.first.find(keyPrefix) != std::string::npos
                || field.second.find(keyPrefix) != std::string::npos;
        });
        return inField || url.find(keyPrefix) != std::string::npos || body.find(keyPrefix) != std::string::npos;
    }

    auto checkCompleteAnswer(const ClientRequest &request, const net::HttpResponse &response) -> void
    {
        const auto body = nlohmann::json::parse(response.body, nullptr, false);
        const auto isOwn = body.is_object() && body.value("order", "") == request.order
                        && (!request.order.empty() || body.value("token", "") == request.token);
        check(isOwn, "answer belongs to another request: " + request.token);
        check(body.is_object() && body["nested"].size() == request.nested, "incomplete answer: " + request.token);
        const auto id = net::header(response.headers, filter::requestIdField);
        check(request.runs.empty() || id == request.requestId,
              "request id belongs to another request: " + request.token);
        check(!request.runs.empty() || !request.order.empty(), "answered without execution: " + request.token);
    }

    auto checkRetries() -> void
    {
        std::map<std::string, std::size_t> retries;
        for (const auto &[callPath, runs] : runsByCallPath_) {
            retries[callPath.substr(0, callPath.find('/'))] += runs - 1;
        }
        for (const auto &[token, count] : retries) {
            check(count <= limits_.retries, token + " had " + std::to_string(count) + " retries");
        }
    }

    /**
     * @brief Checks the rate limit of every account.
     *
     * A token is granted between arrival and execution, so the requests that both arrive and begin execution within a
     * window bound the tokens granted in it.
     */
    auto checkRates() -> void
    {
        std::map<std::string, std::vector<const ClientRequest *>> byAccount;
        for (const auto &[token, request] : requests_) {
            if (!request.account.empty() && !request.runs.empty()) {
                byAccount[request.account].push_back(&request);
            }
        }
        for (auto &[account, requests] : byAccount) {
            std::sort(requests.begin(), requests.end(), [](const auto *left, const auto *right) {
                return left->runs.front() < right->runs.front();
            });
            for (const auto *first : requests) {
                checkWindows(account, requests, first->arrival);
            }
        }
    }

    auto checkWindows(const std::string &account,
                      const std::vector<const ClientRequest *> &requests,
                      const TimePoint start) -> void
    {
        double count = 0;
        for (const auto *request : requests) {
            if (request->arrival < start) {
                continue;
            }
            ++count;
            const auto seconds = std::chrono::duration<double>(request->runs.front() - start).count();
            check(count <= limits_.burst + limits_.rate * seconds + 1e-6, "rate limit exceeded by " + account);
        }
    }

    Limits limits_;
    std::map<std::string, ClientRequest> requests_;
    std::map<std::string, std::size_t> runsByCallPath_;
    std::map<std::string, std::size_t> runsByOrder_;
    std::map<std::string, TimePoint> withdrawnKeys_;
    std::set<std::string> violations_;
};

} // namespace jasminelatch::test

#endif

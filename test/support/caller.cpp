#include "caller.hpp"

#include <algorithm>
#include <future>
#include <utility>

namespace jasminelatch::test {

auto Caller::call(const Request &request) -> Reply
{
    net::HttpCall call;
    call.method = request.method;
    call.url = request.url;
    call.headers = request.headers;
    call.body = request.body;
    call.timeout = request.timeout + std::chrono::seconds{1};
    call.headers["X-Timeout-Ms"] =
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(request.timeout).count());
    if (!request.key.empty()) {
        call.headers["Authorization"] = "Bearer " + request.key;
    }
    if (!request.idempotencyKey.empty()) {
        call.headers["Idempotency-Key"] = request.idempotencyKey;
    }
    std::promise<net::HttpResult> promise;
    client_.send(std::move(call), [&](net::HttpResult result) { promise.set_value(std::move(result)); });
    auto result = promise.get_future().get();
    const auto &headers = result.response.headers;
    return {result.end,
            result.response.status,
            std::string{net::header(headers, "X-Refusal")},
            std::string{net::header(headers, "X-Outcome")},
            std::string{net::header(headers, "X-Request-Id")},
            std::move(result.response.body)};
}

Traffic::Traffic(const unsigned callers, const std::chrono::milliseconds pause, MakeRequest makeRequest)
    : pause_{pause}
    , makeRequest_{std::move(makeRequest)}
{
    for (unsigned caller = 0; caller < callers; ++caller) {
        threads_.emplace_back([this, caller] { run(caller); });
    }
}

Traffic::~Traffic()
{
    stop();
}

auto Traffic::run(const unsigned caller) -> void
{
    Caller client;
    for (unsigned number = 0; !stop_; ++number) {
        Sent sent;
        sent.request = makeRequest_(caller, number);
        sent.begin = std::chrono::steady_clock::now();
        sent.reply = client.call(sent.request);
        sent.end = std::chrono::steady_clock::now();
        {
            const std::lock_guard lock{mutex_};
            sent_.push_back(std::move(sent));
        }
        std::this_thread::sleep_for(pause_);
    }
}

auto Traffic::stop() -> std::vector<Sent>
{
    stop_ = true;
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
    return sent_;
}

auto Traffic::sent() const -> std::vector<Sent>
{
    const std::lock_guard lock{mutex_};
    return sent_;
}

auto Traffic::completeSince(const std::chrono::steady_clock::time_point since) const -> std::size_t
{
    const std::lock_guard lock{mutex_};
    return static_cast<std::size_t>(std::count_if(
        sent_.begin(), sent_.end(), [&](const auto &sent) { return sent.begin >= since && sent.isComplete(); }));
}

} // namespace jasminelatch::test

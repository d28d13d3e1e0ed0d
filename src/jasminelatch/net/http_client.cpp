#include "http_client.hpp"

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace jasminelatch::net {

namespace internal {

constexpr long pollMilliseconds = 200;

struct EasyDeleter {
    auto operator()(CURL *handle) const -> void { curl_easy_cleanup(handle); }
};

struct MultiDeleter {
    auto operator()(CURLM *multi) const -> void { curl_multi_cleanup(multi); }
};

struct ListDeleter {
    auto operator()(curl_slist *list) const -> void { curl_slist_free_all(list); }
};

auto initialiseOnce() -> void
{
    static const auto result = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(result);
}

/*! @brief One transfer with everything that libcurl keeps pointers to. */
struct Transfer {
    HttpCall call;
    HttpClient::Callback callback;
    HttpClient::CallNumber number{};
    HttpResponse response;
    std::unique_ptr<CURL, EasyDeleter> handle;
    std::unique_ptr<curl_slist, ListDeleter> headers;
};

auto writeBody(char *data, std::size_t size, std::size_t count, void *target) -> std::size_t
{
    static_cast<Transfer *>(target)->response.body.append(data, size * count);
    return size * count;
}

auto trimmed(std::string_view text) -> std::string_view
{
    constexpr std::string_view blanks{" \t\r\n"};
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

auto writeHeader(char *data, std::size_t size, std::size_t count, void *target) -> std::size_t
{
    const std::string_view line{data, size * count};
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        auto &headers = static_cast<Transfer *>(target)->response.headers;
        headers.insert_or_assign(std::string{line.substr(0, colon)}, std::string{trimmed(line.substr(colon + 1))});
    }
    return size * count;
}

auto prepareHeaders(Transfer &transfer) -> void
{
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const auto &[name, value] : transfer.call.headers) {
        const auto line = value.empty() ? name + ";" : name + ": " + value;
        list = curl_slist_append(list, line.c_str());
    }
    transfer.headers.reset(list);
}

auto prepare(Transfer &transfer) -> void
{
    const auto &call = transfer.call;
    transfer.handle.reset(curl_easy_init());
    auto *handle = transfer.handle.get();
    prepareHeaders(transfer);
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.headers.get());
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout).count();
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, std::max<long>(1, milliseconds));
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &writeBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &writeHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
    if (call.freshConnection) {
        curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
}

auto toEnd(const CURLcode code, CURL *handle) -> HttpEnd
{
    if (code == CURLE_OK) {
        return HttpEnd::Answered;
    }
    double connected{};
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME, &connected);
    if (code == CURLE_COULDNT_CONNECT || (code == CURLE_OPERATION_TIMEDOUT && connected == 0.0)) {
        return HttpEnd::NotSent;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? HttpEnd::TimedOut : HttpEnd::Lost;
}

auto finish(Transfer &transfer, const CURLcode code) -> HttpResult
{
    HttpResult result{toEnd(code, transfer.handle.get()), {}};
    if (result.end == HttpEnd::Answered) {
        long status{};
        curl_easy_getinfo(transfer.handle.get(), CURLINFO_RESPONSE_CODE, &status);
        result.response = std::move(transfer.response);
        result.response.status = static_cast<int>(status);
    }
    return result;
}

} // namespace internal

class HttpClient::Impl
{
public:
    explicit Impl(const long maxConnections)
    {
        internal::initialiseOnce();
        multi_.reset(curl_multi_init());
        curl_multi_setopt(multi_.get(), CURLMOPT_MAX_TOTAL_CONNECTIONS, maxConnections);
        curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, maxConnections);
        thread_ = std::thread{[this] {
            run();
        }};
    }

    Impl(const Impl &) = delete;
    auto operator=(const Impl &) -> Impl & = delete;

    ~Impl()
    {
        stopping_ = true;
        curl_multi_wakeup(multi_.get());
        thread_.join();
    }

    auto send(HttpCall call, Callback callback) -> CallNumber
    {
        auto transfer = std::make_unique<internal::Transfer>();
        transfer->call = std::move(call);
        transfer->callback = std::move(callback);
        const std::lock_guard lock{mutex_};
        const auto number = ++lastNumber_;
        transfer->number = number;
        arrivals_.push_back(std::move(transfer));
        curl_multi_wakeup(multi_.get());
        return number;
    }

    auto cancel(const CallNumber number) -> void
    {
        const std::lock_guard lock{mutex_};
        cancelled_.push_back(number);
        curl_multi_wakeup(multi_.get());
    }

private:
    auto run() -> void
    {
        while (!stopping_) {
            admitArrivals();
            dropCancelled();
            int running{};
            curl_multi_perform(multi_.get(), &running);
            reportEnded();
            curl_multi_poll(multi_.get(), nullptr, 0, internal::pollMilliseconds, nullptr);
        }
        admitArrivals();
        while (!transfers_.empty()) {
            end(transfers_.begin()->first, HttpResult{HttpEnd::Cancelled, {}});
        }
    }

    auto admitArrivals() -> void
    {
        std::vector<std::unique_ptr<internal::Transfer>> arrivals;
        {
            const std::lock_guard lock{mutex_};
            arrivals.swap(arrivals_);
        }
        for (auto &transfer : arrivals) {
            internal::prepare(*transfer);
            curl_multi_add_handle(multi_.get(), transfer->handle.get());
            transfers_.emplace(transfer->number, std::move(transfer));
        }
    }

    auto dropCancelled() -> void
    {
        std::vector<CallNumber> cancelled;
        {
            const std::lock_guard lock{mutex_};
            cancelled.swap(cancelled_);
        }
        for (const auto number : cancelled) {
            end(number, HttpResult{HttpEnd::Cancelled, {}});
        }
    }

    auto reportEnded() -> void
    {
        int left{};
        while (const auto *message = curl_multi_info_read(multi_.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            internal::Transfer *transfer{};
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            auto result = internal::finish(*transfer, message->data.result);
            end(transfer->number, std::move(result));
        }
    }

    auto end(const CallNumber number, HttpResult result) -> void
    {
        const auto position = transfers_.find(number);
        if (position == transfers_.end()) {
            return;
        }
        const auto transfer = std::move(position->second);
        transfers_.erase(position);
        curl_multi_remove_handle(multi_.get(), transfer->handle.get());
        transfer->callback(std::move(result));
    }

    std::unique_ptr<CURLM, internal::MultiDeleter> multi_;
    std::map<CallNumber, std::unique_ptr<internal::Transfer>> transfers_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<internal::Transfer>> arrivals_;
    std::vector<CallNumber> cancelled_;
    CallNumber lastNumber_{};
    std::atomic<bool> stopping_{};
    std::thread thread_;
};

HttpClient::HttpClient(const long maxConnections)
    : impl_{std::make_unique<Impl>(maxConnections)}
{
}

HttpClient::~HttpClient() = default;

auto HttpClient::send(HttpCall call, Callback callback) -> CallNumber
{
    return impl_->send(std::move(call), std::move(callback));
}

auto HttpClient::cancel(const CallNumber number) -> void
{
    impl_->cancel(number);
}

auto performHttp(const HttpCall &call) -> HttpResult
{
    internal::initialiseOnce();
    internal::Transfer transfer;
    transfer.call = call;
    internal::prepare(transfer);
    const auto code = curl_easy_perform(transfer.handle.get());
    return internal::finish(transfer, code);
}

} // namespace jasminelatch::net

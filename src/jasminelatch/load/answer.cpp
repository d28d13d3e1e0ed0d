#include "answer.hpp"

#include <jasminelatch/filter/fields.hpp>

#include <nlohmann/json.hpp>

namespace jasminelatch::load {

namespace internal {

constexpr std::string_view reasonField = "X-Refusal";
constexpr int firstFailure = 300;
constexpr int firstSuccess = 200;

auto text(const nlohmann::json &json, const char *field) -> std::string
{
    const auto position = json.find(field);
    return position != json.end() && position->is_string() ? position->get<std::string>() : std::string{};
}

} // namespace internal

auto isWhole(const net::HttpResponse &response, const std::string_view path, const std::string_view body) -> bool
{
    if (response.status < internal::firstSuccess || response.status >= internal::firstFailure) {
        return false;
    }
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (!json.is_object() || internal::text(json, "path") != path || internal::text(json, "body") != body) {
        return false;
    }
    const auto content = internal::text(json, "request_id") + internal::text(json, "service") + std::string{path}
                       + std::string{body} + internal::text(json, "nested") + internal::text(json, "filling");
    return json.value("checksum", std::size_t{}) == std::hash<std::string>{}(content);
}

auto failureReason(const net::HttpResult &result) -> std::string
{
    switch (result.end) {
    case net::HttpEnd::Answered:
        break;
    case net::HttpEnd::NotSent:
        return "not_sent";
    case net::HttpEnd::TimedOut:
        return "timed_out";
    case net::HttpEnd::Lost:
    case net::HttpEnd::Cancelled:
        return "lost";
    }
    const auto reason = net::header(result.response.headers, internal::reasonField);
    return reason.empty() ? "status_" + std::to_string(result.response.status) : std::string{reason};
}

auto retryAfter(const net::HttpResponse &response) -> Duration
{
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (!json.is_object()) {
        return Duration::zero();
    }
    return std::chrono::milliseconds{json.value("retry_after_ms", std::int64_t{})};
}

} // namespace jasminelatch::load

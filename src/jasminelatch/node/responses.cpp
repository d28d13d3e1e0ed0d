#include "responses.hpp"

#include <jasminelatch/filter/fields.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace jasminelatch::node {

namespace internal {

constexpr std::array<std::string_view, 7> hopFields{
    "Connection", "Content-Length", "Date", "Host", "Keep-Alive", "Transfer-Encoding", "Upgrade"};
constexpr std::string_view reasonField = "X-Refusal";

} // namespace internal

auto toResponse(const RequestId &id, const Refusal &refusal) -> net::HttpResponse
{
    net::HttpResponse response;
    response.status = httpStatus(refusal.reason);
    response.headers["Content-Type"] = "application/json";
    response.headers[std::string{internal::reasonField}] = toString(refusal.reason);
    response.headers[std::string{filter::outcomeField}] = toString(refusal.outcome);
    response.headers[std::string{filter::requestIdField}] = id.text();
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(refusal.retryAfter).count();
    nlohmann::json body{
        {"reason", toString(refusal.reason)}, {"outcome", toString(refusal.outcome)}, {"request_id", id.text()}};
    if (milliseconds > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
        response.headers[std::string{filter::retryAfterField}] = std::to_string(seconds);
        body["retry_after_ms"] = milliseconds;
    }
    response.body = body.dump();
    return response;
}

auto removeHopFields(net::Headers &headers) -> void
{
    for (const auto field : internal::hopFields) {
        headers.erase(std::string{field});
    }
}

} // namespace jasminelatch::node

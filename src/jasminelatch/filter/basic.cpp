#include "basic.hpp"

#include "fields.hpp"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

namespace jasminelatch::filter {

namespace internal {

constexpr std::size_t longestPath = 2048;
constexpr Duration noRecordsRetryAfter = std::chrono::seconds{1};

auto serviceOf(const std::string_view path) -> std::string_view
{
    const auto end = path.find('/', 1);
    return path.substr(1, end == std::string_view::npos ? end : end - 1);
}

auto below(const std::string_view path, const std::string_view service) -> std::string
{
    const auto rest = path.substr(service.size() + 1);
    return rest.empty() ? "/" : std::string{rest};
}

/*! @brief Tells whether a segment of the path leads back to the one above. */
auto leadsBack(const std::string_view path) -> bool
{
    return path.find("/../") != std::string_view::npos || path.ends_with("/..");
}

auto isWellFormed(const std::string_view path) -> bool
{
    return path.size() > 1 && path.size() <= longestPath && path.front() == '/' && path[1] != '/' && !leadsBack(path);
}

auto timeoutOf(const net::Headers &headers) -> std::optional<Duration>
{
    const auto text = net::header(headers, timeoutField);
    Duration::rep milliseconds{};
    const auto end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, milliseconds);
    if (text.empty() || result.ptr != end || result.ec != std::errc{} || milliseconds < 0) {
        return std::nullopt;
    }
    constexpr Duration::rep longest = 600'000;
    return std::chrono::milliseconds{std::min(milliseconds, longest)};
}

} // namespace internal

auto sizeFilter() -> Filter
{
    return {"size", [](call::Exchange &exchange, const Resume &) {
                if (exchange.request.bodyTooLarge) {
                    return refuse(RefusalReason::BodyTooLarge);
                }
                return internal::isWellFormed(exchange.request.path) ? pass() : refuse(RefusalReason::MalformedRequest);
            }};
}

auto routeFilter() -> Filter
{
    return {"route", [](call::Exchange &exchange, const Resume &) {
                const std::string service{internal::serviceOf(exchange.request.path)};
                exchange.path = internal::below(exchange.request.path, service);
                exchange.kind = exchange.view->findKind(exchange.request.method, ServiceName{service}, exchange.path);
                if (exchange.kind == nullptr) {
                    const auto hasRecords = exchange.view->revision() > 0;
                    return hasRecords ? refuse(RefusalReason::UnknownRoute)
                                      : refuse(RefusalReason::ConfigurationStale, internal::noRecordsRetryAfter);
                }
                exchange.importance = exchange.kind->importance;
                return pass();
            }};
}

auto deadlineFilter(const Clock &clock) -> Filter
{
    return {"deadline", [&clock](call::Exchange &exchange, const Resume &) {
                const auto asked = internal::timeoutOf(exchange.request.headers).value_or(exchange.kind->timeout);
                const auto own = exchange.arrival + asked;
                exchange.deadline = exchange.parent.empty() ? own : std::min(own, exchange.deadline);
                return exchange.deadline > clock.now() ? pass() : refuse(RefusalReason::DeadlineExpired);
            }};
}

} // namespace jasminelatch::filter

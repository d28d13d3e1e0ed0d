#include "refusal.hpp"

#include <array>

namespace jasminelatch {

namespace internal {

struct ReasonEntry {
    std::string_view name;
    int status;
};

constexpr std::array<ReasonEntry, refusalReasonCount> reasonEntries{{
    {"malformed_request", 400},
    {"body_too_large", 413},
    {"unknown_route", 404},
    {"missing_key", 401},
    {"unknown_key", 401},
    {"withdrawn_key", 401},
    {"invalid_ticket", 403},
    {"depth_exceeded", 508},
    {"deadline_expired", 504},
    {"deadline_too_short", 504},
    {"idempotency_key_missing", 400},
    {"order_in_progress", 409},
    {"order_conflict", 422},
    {"order_holder_unavailable", 503},
    {"outcome_unknown", 500},
    {"account_rate", 429},
    {"quota_unavailable", 503},
    {"shed", 503},
    {"queue_full", 503},
    {"no_backend", 503},
    {"backend_failed", 502},
    {"backend_lost", 502},
    {"retries_exhausted", 503},
    {"cancelled", 499},
    {"leaving", 503},
    {"configuration_stale", 503},
    {"internal", 500},
}};

} // namespace internal

auto toString(const RefusalReason reason) noexcept -> std::string_view
{
    return internal::reasonEntries.at(static_cast<std::size_t>(reason)).name;
}

auto toString(const Outcome outcome) noexcept -> std::string_view
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Ran:
        return "ran";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

auto httpStatus(const RefusalReason reason) noexcept -> int
{
    return internal::reasonEntries.at(static_cast<std::size_t>(reason)).status;
}

} // namespace jasminelatch

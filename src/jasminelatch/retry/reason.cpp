#include "reason.hpp"

namespace jasminelatch::retry {

auto toString(const Reason reason) noexcept -> std::string_view
{
    switch (reason) {
    case Reason::BackendFailed:
        return "backend_failed";
    case Reason::BackendLost:
        return "backend_lost";
    case Reason::ShedNotRun:
        return "shed_not_run";
    case Reason::LeavingNotRun:
        return "leaving_not_run";
    case Reason::NodeLost:
        return "node_lost";
    case Reason::TimedOut:
        break;
    }
    return "timed_out";
}

auto toString(const Verdict verdict) noexcept -> std::string_view
{
    switch (verdict) {
    case Verdict::Granted:
        return "granted";
    case Verdict::Limit:
        return "limit";
    case Verdict::ServiceShare:
        return "service_share";
    case Verdict::UnknownRequest:
        return "unknown_request";
    case Verdict::Closed:
        return "closed";
    case Verdict::NoAnswer:
        break;
    }
    return "no_answer";
}

} // namespace jasminelatch::retry

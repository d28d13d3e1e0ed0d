#include "request_path.hpp"

#include <jasminelatch/filter/fields.hpp>
#include <jasminelatch/order/claim.hpp>

#include <string>
#include <utility>

namespace jasminelatch::node {

namespace internal {

constexpr std::size_t longestIdempotencyKey = 200;
constexpr Duration orderRetryAfter = std::chrono::seconds{1};

} // namespace internal

auto RequestPath::orderFilter() -> filter::Filter
{
    return {"order", [this](call::Exchange &exchange, const filter::Resume &resume) {
                if (exchange.kind->idempotent) {
                    return filter::pass();
                }
                const std::string key{net::header(exchange.request.headers, filter::idempotencyField)};
                if (key.empty() && !exchange.parent.empty()) {
                    return filter::pass();
                }
                if (key.empty() || key.size() > internal::longestIdempotencyKey) {
                    return filter::refuse(RefusalReason::IdempotencyKeyMissing);
                }
                if (controllers_->claimant() == nullptr) {
                    return filter::refuse(RefusalReason::OrderHolderUnavailable, internal::orderRetryAfter);
                }
                claim(exchange, key, resume);
                return filter::wait();
            }};
}

auto RequestPath::claim(const call::Exchange &exchange, const std::string &key, const filter::Resume &resume) -> void
{
    const auto content =
        exchange.request.method + " " + exchange.kind->service.text() + exchange.path + "\n" + exchange.request.body;
    order::Ask ask{exchange.account, key, exchange.id, order::shortHash(content)};
    controllers_->claimant()->claim(
        std::move(ask),
        [this, id = exchange.id, key, resume](const order::Verdict &verdict) { onClaimed(id, key, verdict, resume); });
}

auto RequestPath::onClaimed(const RequestId &id,
                            const std::string &key,
                            const order::Verdict &verdict,
                            const filter::Resume &resume) -> void
{
    if (const auto *answer = std::get_if<order::Answer>(&verdict)) {
        const net::HttpResponse response{answer->status, {{"Content-Type", answer->contentType}}, answer->body};
        resume({filter::Verdict::Step::Answer, {}, response});
        return;
    }
    if (const auto *refusal = std::get_if<Refusal>(&verdict)) {
        resume({filter::Verdict::Step::Refuse, *refusal, {}});
        return;
    }
    const auto position = exchanges_.find(id);
    if (position == exchanges_.end()) {
        controllers_->claimant()->report(id, order::ResultKind::NotRun);
        return;
    }
    position->second.exchange.idempotencyKey = key;
    const auto late = clock_->now() >= std::get<order::Grant>(verdict).dispatchBefore;
    resume(late ? filter::refuse(RefusalReason::DeadlineExpired, internal::orderRetryAfter) : filter::pass());
}

auto RequestPath::reportOrder(const call::Exchange &exchange, const call::JobResult &result) -> void
{
    if (exchange.idempotencyKey.empty()) {
        return;
    }
    auto &claimant = *controllers_->claimant();
    if (result.refusal) {
        const auto notRun = result.refusal->outcome == Outcome::NotRun;
        claimant.report(exchange.id, notRun ? order::ResultKind::NotRun : order::ResultKind::Unknown);
        return;
    }
    const auto &response = result.response;
    claimant.report(exchange.id,
                    order::ResultKind::Answered,
                    {static_cast<std::uint16_t>(response.status),
                     std::string{net::header(response.headers, "Content-Type")},
                     response.body});
}

auto RequestPath::onJobDone(const RequestId &id, call::JobResult result) -> void
{
    const auto position = exchanges_.find(id);
    if (position == exchanges_.end()) {
        return;
    }
    reportOrder(position->second.exchange, result);
    position->second.exchange.idempotencyKey.clear();
    result.refusal ? refuse(id, *result.refusal) : finish(id, std::move(result.response));
}

} // namespace jasminelatch::node

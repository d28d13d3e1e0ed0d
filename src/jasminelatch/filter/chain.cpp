#include "chain.hpp"

#include <utility>

namespace jasminelatch::filter {

Chain::Chain(std::vector<Filter> filters, Hooks hooks)
    : filters_{std::move(filters)}
    , hooks_{std::move(hooks)}
{
}

auto Chain::run(call::Exchange &exchange) -> void
{
    runFrom(exchange, 0);
}

auto Chain::runFrom(call::Exchange &exchange, std::size_t index) -> void
{
    for (; index < filters_.size(); ++index) {
        const auto resumeLater = [this, id = exchange.id, index](const Verdict &verdict) {
            resume(id, index, verdict);
        };
        const auto verdict = filters_[index].apply(exchange, resumeLater);
        if (verdict.step == Verdict::Step::Wait) {
            return;
        }
        if (verdict.step != Verdict::Step::Pass) {
            hooks_.ended(exchange, verdict);
            return;
        }
    }
    hooks_.passed(exchange);
}

auto Chain::resume(const RequestId &id, const std::size_t index, const Verdict &verdict) -> void
{
    auto *exchange = hooks_.find(id);
    if (exchange == nullptr) {
        return;
    }
    if (verdict.step == Verdict::Step::Pass) {
        runFrom(*exchange, index + 1);
        return;
    }
    hooks_.ended(*exchange, verdict);
}

} // namespace jasminelatch::filter

#ifndef JASMINELATCH_FILTER_CHAIN_HPP
#define JASMINELATCH_FILTER_CHAIN_HPP

#include <jasminelatch/call/exchange.hpp>
#include <jasminelatch/core/refusal.hpp>
#include <jasminelatch/net/http.hpp>

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace jasminelatch::filter {

/*! @brief What a filter says about a request. */
struct Verdict {
    /*! @brief Kind of verdict. */
    enum class Step : std::uint8_t {
        Pass, /*!< The next filter goes on. */
        Refuse, /*!< `refusal` is the answer. */
        Answer, /*!< `response` is the answer, from an earlier run. */
        Wait /*!< The filter calls `Resume` later. */
    };

    Step step{Step::Pass}; /*!< Kind of verdict. */
    Refusal refusal; /*!< Refusal, with `Step::Refuse`. */
    net::HttpResponse response; /*!< Response, with `Step::Answer`. */
};

/*! @brief Returns the verdict that lets a request pass. */
[[nodiscard]] inline auto pass() -> Verdict
{
    return {};
}

/*! @brief Returns the verdict of a filter that resumes later. */
[[nodiscard]] inline auto wait() -> Verdict
{
    return {Verdict::Step::Wait, {}, {}};
}

/**
 * @brief Returns the verdict that refuses a request that has not run.
 * @param reason Why.
 * @param retryAfter When to come back; zero when that is useless.
 * @return The verdict.
 */
[[nodiscard]] inline auto refuse(const RefusalReason reason, const Duration retryAfter = {}) -> Verdict
{
    return {Verdict::Step::Refuse, {reason, Outcome::NotRun, retryAfter}, {}};
}

/*! @brief Gives the verdict of a filter that waited; may be called once, also after the request has ended. */
using Resume = std::function<void(Verdict)>;

/*! @brief One step on the way of a request. */
struct Filter {
    std::string_view name; /*!< Short name. */
    std::function<Verdict(call::Exchange &, const Resume &)> apply; /*!< Looks at a request. */
};

/**
 * @brief Filters in their order.
 */
class Chain
{
public:
    /*! @brief What the chain calls. */
    struct Hooks {
        std::function<call::Exchange *(const RequestId &)> find; /*!< Finds a request; null once it has ended. */
        std::function<void(call::Exchange &)> passed; /*!< Every filter let it pass. */
        std::function<void(call::Exchange &, const Verdict &)> ended; /*!< A filter refused or answered it. */
    };

    /**
     * @brief Builds a chain.
     * @param filters Filters, first one first.
     * @param hooks What to call.
     */
    Chain(std::vector<Filter> filters, Hooks hooks);

    /**
     * @brief Sends a request through the filters.
     * @param exchange The request; a hook may end it before this returns.
     */
    auto run(call::Exchange &exchange) -> void;

private:
    auto runFrom(call::Exchange &exchange, std::size_t index) -> void;
    auto resume(const RequestId &id, std::size_t index, const Verdict &verdict) -> void;

    std::vector<Filter> filters_;
    Hooks hooks_;
};

} // namespace jasminelatch::filter

#endif

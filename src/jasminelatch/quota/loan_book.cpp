#include "loan_book.hpp"

#include <algorithm>

namespace jasminelatch::quota::internal {

auto LoanBook::add(const std::uint64_t ask,
                   const std::uint32_t share,
                   const std::uint32_t tokens,
                   const TimePoint expiry) -> void
{
    const Loan loan{.ask = ask, .share = share, .tokens = tokens, .expiry = expiry};
    const auto position = std::ranges::upper_bound(loans_, expiry, {}, [](const Loan &other) { return other.expiry; });
    loans_.insert(position, loan);
}

auto LoanBook::spend(const TimePoint now) -> bool
{
    for (auto &loan : loans_) {
        if (loan.closed || now >= loan.expiry) {
            continue;
        }
        ++loan.spent;
        loan.lastSpent = now;
        loan.closed = loan.spent == loan.tokens;
        return true;
    }
    return false;
}

auto LoanBook::expire(const TimePoint now, const Duration forgetAfter) -> std::uint32_t
{
    std::uint32_t unspent = 0;
    for (auto &loan : loans_) {
        if (!loan.closed && now >= loan.expiry) {
            loan.closed = true;
            unspent += loan.tokens - loan.spent;
        }
    }
    std::erase_if(loans_, [&](const Loan &loan) { return now >= loan.expiry + forgetAfter; });
    return unspent;
}

auto LoanBook::closeExpiringBefore(const TimePoint limit, const std::uint32_t share) -> void
{
    for (auto &loan : loans_) {
        if (loan.share == share && loan.expiry <= limit) {
            loan.closed = true;
        }
    }
}

auto LoanBook::report(const std::uint32_t share,
                      const AccountName &account,
                      const std::uint64_t ask,
                      const TimePoint now,
                      std::vector<Settlement> &out) -> void
{
    for (auto &loan : loans_) {
        if (loan.share != share || (!loan.closed && loan.spent == loan.confirmedSpent)) {
            continue;
        }
        loan.reportedIn = ask;
        loan.reportedSpent = loan.spent;
        loan.reportedClosed = loan.closed;
        const auto sinceSpent = loan.spent > 0 ? now - loan.lastSpent : Duration::zero();
        out.push_back({loan.ask, account, loan.spent, sinceSpent, loan.closed});
    }
}

auto LoanBook::confirm(const std::uint64_t ask) -> void
{
    std::erase_if(loans_, [&](const Loan &loan) { return loan.reportedIn == ask && loan.reportedClosed; });
    for (auto &loan : loans_) {
        if (loan.reportedIn == ask) {
            loan.confirmedSpent = loan.reportedSpent;
        }
    }
}

auto LoanBook::available(const TimePoint until) const -> std::uint32_t
{
    std::uint32_t tokens = 0;
    for (const auto &loan : loans_) {
        tokens += loan.closed || until >= loan.expiry ? 0 : loan.tokens - loan.spent;
    }
    return tokens;
}

auto LoanBook::unspentBefore(const TimePoint limit, const std::uint32_t share) const -> std::uint32_t
{
    std::uint32_t tokens = 0;
    for (const auto &loan : loans_) {
        const auto counts = loan.share == share && !loan.closed && loan.expiry <= limit;
        tokens += counts ? loan.tokens - loan.spent : 0;
    }
    return tokens;
}

} // namespace jasminelatch::quota::internal

#ifndef JASMINELATCH_QUOTA_MESSAGE_HPP
#define JASMINELATCH_QUOTA_MESSAGE_HPP

#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/core/json.hpp>

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace jasminelatch::quota {

/*! @brief Tokens wanted for one account. */
struct AccountAsk {
    AccountName account; /*!< Account. */
    std::uint32_t tokens{}; /*!< Tokens wanted. */
};

/*! @brief What became of an earlier loan from the same share. */
struct Settlement {
    std::uint64_t ask{}; /*!< Number of the ask that the loan answered. */
    AccountName account; /*!< Account. */
    std::uint32_t spent{}; /*!< Tokens of the loan spent so far. */
    Duration sinceSpent{}; /*!< Time since the last of them was spent, in microseconds. */
    bool closed{}; /*!< The borrower will spend no more of it. */
};

/*! @brief A borrower asks the holder of one share for tokens. */
struct LoanAsk {
    static constexpr std::string_view type = "quota.ask";
    std::uint64_t incarnation{}; /*!< Random number of the borrower's process. */
    std::uint64_t number{}; /*!< Number of this ask within the process. */
    LeaseName right; /*!< Right to the share. */
    std::vector<AccountAsk> wanted; /*!< Tokens wanted, one entry an account. */
    std::vector<Settlement> settled; /*!< Earlier loans. */
};

/*! @brief Tokens lent for one account. */
struct AccountGrant {
    AccountName account; /*!< Account. */
    std::uint32_t tokens{}; /*!< Tokens lent, from zero to the number wanted. */
    double level{}; /*!< Tokens left at the holder. */
};

/*! @brief Answer to `LoanAsk`. */
struct LoanGrant {
    static constexpr std::string_view type = "quota.grant";
    std::uint64_t incarnation{}; /*!< As in the ask. */
    std::uint64_t number{}; /*!< As in the ask. */
    bool held{}; /*!< False when the answering node does not hold the right; nothing is lent then. */
    Duration lifetime{}; /*!< Lifetime of the loans, from before the ask was sent, in microseconds. */
    std::vector<AccountGrant> lent; /*!< Loans, one entry an account. */
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AccountAsk, account, tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Settlement, ask, account, spent, sinceSpent, closed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoanAsk, incarnation, number, right, wanted, settled)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AccountGrant, account, tokens, level)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LoanGrant, incarnation, number, held, lifetime, lent)

/*! @brief Any message of this module. */
using Message = std::variant<LoanAsk, LoanGrant>;

} // namespace jasminelatch::quota

#endif

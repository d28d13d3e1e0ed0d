#ifndef JASMINELATCH_SIDECAR_REQUEST_RANK_HPP
#define JASMINELATCH_SIDECAR_REQUEST_RANK_HPP

#include <jasminelatch/mesh/configuration.hpp>

#include <algorithm>
#include <cstdint>

namespace jasminelatch::sidecar {

/*! @brief Rank of calls within admitted call trees: refusing one wastes the work already done in its tree. */
inline constexpr std::uint32_t callRank = 0;

/**
 * @brief Returns the rank of a client's request; the account's priority goes before the route's.
 * @param route Route of the request.
 * @param account Account of the client.
 * @return Rank, above that of calls.
 */
[[nodiscard]] inline auto rankOf(const mesh::Route &route, const mesh::Account &account) -> std::uint32_t
{
    constexpr std::uint32_t ranksPerAccountPriority = 16;
    return callRank + 1 + account.priority * ranksPerAccountPriority
         + std::min(route.priority, ranksPerAccountPriority - 1);
}

} // namespace jasminelatch::sidecar

#endif

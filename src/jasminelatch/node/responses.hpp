#ifndef JASMINELATCH_NODE_RESPONSES_HPP
#define JASMINELATCH_NODE_RESPONSES_HPP

#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/core/refusal.hpp>
#include <jasminelatch/net/http.hpp>

namespace jasminelatch::node {

/**
 * @brief Writes a refusal as an HTTP response.
 * @param id Id of the request.
 * @param refusal The refusal.
 * @return Response with the reason, the outcome and, when coming back is of use, `Retry-After`.
 */
[[nodiscard]] auto toResponse(const RequestId &id, const Refusal &refusal) -> net::HttpResponse;

/**
 * @brief Removes the header fields that belong to one connection.
 * @param headers Header fields.
 */
auto removeHopFields(net::Headers &headers) -> void;

} // namespace jasminelatch::node

#endif

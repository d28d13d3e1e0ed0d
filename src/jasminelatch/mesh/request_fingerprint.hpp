#ifndef JASMINELATCH_MESH_REQUEST_FINGERPRINT_HPP
#define JASMINELATCH_MESH_REQUEST_FINGERPRINT_HPP

#include "http.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace jasminelatch::mesh {

/*! @brief Hash that identifies a request across attempts, clients' connections and nodes; zero is none. */
using Fingerprint = std::uint64_t;

/**
 * @brief Computes the fingerprint of a request from its account, method, host, target and body.
 * @param request Request as received from the client.
 * @param account Client account; empty for a call of an instance.
 * @return The fingerprint; equal at all nodes.
 */
[[nodiscard]] auto fingerprintOf(const Request &request, std::string_view account) -> Fingerprint;

/**
 * @brief Formats a fingerprint for logs and the store.
 * @param fingerprint Fingerprint of a request.
 * @return Sixteen hexadecimal digits.
 */
[[nodiscard]] auto toText(Fingerprint fingerprint) -> std::string;

} // namespace jasminelatch::mesh

#endif

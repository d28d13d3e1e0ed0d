#include "request_fingerprint.hpp"

#include <boost/endian/conversion.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace jasminelatch::mesh {

namespace internal {

constexpr std::size_t digestBytes = crypto_generichash_BYTES_MIN;

auto update(crypto_generichash_state &state, const std::string_view text) -> void
{
    // The length keeps two parts from yielding the same bytes when they are divided differently.
    const auto length = boost::endian::native_to_little(std::uint64_t{text.size()});
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&length), sizeof(length));
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(text.data()), text.size());
}

} // namespace internal

auto fingerprintOf(const Request &request, const std::string_view account) -> Fingerprint
{
    const auto *host = findField(request.fields, "Host");
    crypto_generichash_state state{};
    crypto_generichash_init(&state, nullptr, 0, internal::digestBytes);
    internal::update(state, account);
    internal::update(state, request.method);
    internal::update(state, host == nullptr ? std::string_view{} : std::string_view{*host});
    internal::update(state, request.target);
    internal::update(state, request.body.text());
    std::array<unsigned char, internal::digestBytes> digest{};
    crypto_generichash_final(&state, digest.data(), digest.size());
    return std::max<Fingerprint>(boost::endian::load_little_u64(digest.data()), 1);
}

auto toText(const Fingerprint fingerprint) -> std::string
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(fingerprint));
    return text.data();
}

} // namespace jasminelatch::mesh

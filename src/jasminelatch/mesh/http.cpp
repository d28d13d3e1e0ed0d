#include "http.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace jasminelatch::mesh {

namespace internal {

/*! @brief Hop-by-hop fields (RFC 9110, section 7.6.1) and those of message framing. */
constexpr std::array<std::string_view, 9> hopByHopFields{"Connection",
                                                         "Keep-Alive",
                                                         "Proxy-Connection",
                                                         "Transfer-Encoding",
                                                         "TE",
                                                         "Trailer",
                                                         "Upgrade",
                                                         "Expect",
                                                         "Content-Length"};

} // namespace internal

auto isFinalStatus(const unsigned status) -> bool
{
    constexpr unsigned first = 200;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

auto isInterimStatus(const unsigned status) -> bool
{
    constexpr unsigned first = 100;
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned last = 199;
    return status >= first && status <= last && status != switchingProtocols;
}

auto sameName(const std::string_view left, const std::string_view right) -> bool
{
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

auto findField(const std::vector<Field> &fields, const std::string_view name) -> const std::string *
{
    const auto found = std::ranges::find_if(fields, [&](const Field &field) { return sameName(field.name, name); });
    return found == fields.end() ? nullptr : &found->value;
}

auto removeField(std::vector<Field> &fields, const std::string_view name) -> void
{
    std::erase_if(fields, [&](const Field &field) { return sameName(field.name, name); });
}

auto removeHopByHopFields(std::vector<Field> &fields) -> void
{
    std::vector<std::string> listed;
    for (const auto &field : fields) {
        if (sameName(field.name, "Connection")) {
            for (const auto token : boost::beast::http::token_list{field.value}) {
                listed.emplace_back(token);
            }
        }
    }
    std::erase_if(fields, [&](const Field &field) {
        const auto matches = [&](const std::string_view name) {
            return sameName(field.name, name);
        };
        return std::ranges::any_of(internal::hopByHopFields, matches) || std::ranges::any_of(listed, matches);
    });
}

} // namespace jasminelatch::mesh

#include "http.hpp"

#include <algorithm>

namespace jasminelatch::net {

namespace internal {

constexpr auto lower(const char letter) noexcept -> char
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace internal

auto HeaderLess::operator()(const std::string_view left, const std::string_view right) const noexcept -> bool
{
    return std::lexicographical_compare(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return internal::lower(a) < internal::lower(b);
    });
}

auto header(const Headers &headers, const std::string_view name) -> std::string_view
{
    const auto position = headers.find(name);
    return position == headers.end() ? std::string_view{} : std::string_view{position->second};
}

} // namespace jasminelatch::net

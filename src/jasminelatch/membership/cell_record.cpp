#include "cell_record.hpp"

#include <charconv>

namespace jasminelatch::membership {

auto cellRight(const FailureDomain &domain, const std::size_t index) -> LeaseName
{
    return LeaseName{std::string{cellPrefix} + domain.text() + "/" + std::to_string(index)};
}

auto cellIndex(std::string_view key, const FailureDomain &domain) -> std::optional<std::size_t>
{
    const auto prefix = std::string{cellPrefix} + domain.text() + "/";
    if (!key.starts_with(prefix)) {
        return {};
    }
    key.remove_prefix(prefix.size());
    std::size_t index{};
    const auto *const end = key.data() + key.size();
    const auto [position, error] = std::from_chars(key.data(), end, index);
    if (error != std::errc{} || position != end) {
        return {};
    }
    return index;
}

auto parseCellRecord(const std::string_view value) -> std::optional<CellRecord>
{
    try {
        return nlohmann::json::parse(value).get<CellRecord>();
    } catch (const nlohmann::json::exception &) {
        return {};
    }
}

} // namespace jasminelatch::membership

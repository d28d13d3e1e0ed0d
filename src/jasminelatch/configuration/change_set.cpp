#include "change_set.hpp"

namespace jasminelatch::configuration {

namespace internal {

template<typename Value>
auto parseAs(const std::string_view text) -> std::optional<Value>
{
    try {
        return nlohmann::json::parse(text).get<Value>();
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

/*! @brief Writes a revision so that the order of texts is the order of revisions. */
auto padded(const Revision revision) -> std::string
{
    constexpr std::size_t digits = 12;
    const auto text = std::to_string(revision);
    return text.size() >= digits ? text : std::string(digits - text.size(), '0') + text;
}

} // namespace internal

auto changeKey(const Revision revision) -> std::string
{
    return std::string{changePrefix} + internal::padded(revision);
}

auto snapshotKey(const Revision revision, const std::uint32_t part) -> std::string
{
    return std::string{snapshotPrefix} + internal::padded(revision) + "/" + std::to_string(part);
}

auto parseChangeSet(const std::string_view text) -> std::optional<ChangeSet>
{
    return internal::parseAs<ChangeSet>(text);
}

auto parseSnapshotPart(const std::string_view text) -> std::optional<SnapshotPart>
{
    return internal::parseAs<SnapshotPart>(text);
}

auto parseBase(const std::string_view text) -> std::optional<Base>
{
    return internal::parseAs<Base>(text);
}

} // namespace jasminelatch::configuration

#include "reader.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace jasminelatch::record {

namespace internal {

auto emptyObject() -> const nlohmann::json &
{
    static const nlohmann::json empty = nlohmann::json::object();
    return empty;
}

auto lineOf(const std::string_view text, const std::size_t offset) -> std::size_t
{
    const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(offset, text.size()));
    return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

/*! @brief Notices fields that stand twice in one object while a text is parsed. */
class DuplicateFields
{
public:
    auto operator()(const nlohmann::json::parse_event_t event, const nlohmann::json &parsed) -> void
    {
        if (event == nlohmann::json::parse_event_t::object_start) {
            open_.emplace_back();
        } else if (event == nlohmann::json::parse_event_t::object_end) {
            open_.pop_back();
        } else if (event == nlohmann::json::parse_event_t::key && !open_.back().insert(parsed).second) {
            found_.push_back(parsed);
        }
    }

    [[nodiscard]] auto found() const -> const std::vector<std::string> & { return found_; }

private:
    std::vector<std::set<std::string>> open_;
    std::vector<std::string> found_;
};

template<typename Value>
auto rangeText(const Range<Value> range) -> std::string
{
    std::ostringstream out;
    out << "must be from " << range.least << " to " << range.most;
    return out.str();
}

} // namespace internal

auto parseJson(const std::string_view text, const std::string &file, Findings &findings)
    -> std::optional<nlohmann::json>
{
    internal::DuplicateFields duplicates;
    const auto watch = [&duplicates](int, const nlohmann::json::parse_event_t event, nlohmann::json &parsed) {
        duplicates(event, parsed);
        return true;
    };
    try {
        auto document = nlohmann::json::parse(text, watch, true, true);
        for (const auto &field : duplicates.found()) {
            findings.push_back({file, "", "field '" + field + "' stands twice in one object"});
        }
        return duplicates.found().empty() ? std::optional{std::move(document)} : std::nullopt;
    } catch (const nlohmann::json::parse_error &error) {
        const auto line = internal::lineOf(text, error.byte == 0 ? 0 : error.byte - 1);
        findings.push_back({file, "line " + std::to_string(line), "does not parse as JSON"});
    }
    return std::nullopt;
}

Reader::Reader(const nlohmann::json &value, Place place, Findings &findings)
    : object_{&value}
    , place_{std::move(place)}
    , findings_{&findings}
{
    if (!object_->is_object()) {
        object_ = &internal::emptyObject();
        report("", "must be an object");
    }
}

auto Reader::has(const std::string_view field) const -> bool
{
    return object_->contains(field);
}

auto Reader::requiredText(const std::string_view field) -> std::string
{
    const auto *value = required(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        report(field, "must be a text that is not empty");
        return {};
    }
    return value->get<std::string>();
}

auto Reader::text(const std::string_view field, std::string fallback) -> std::string
{
    const auto *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        report(field, "must be a text");
        return fallback;
    }
    return value->get<std::string>();
}

auto Reader::requiredNumber(const std::string_view field, const Range<double> range) -> double
{
    const auto *value = required(field);
    return value == nullptr ? range.least : toNumber(*value, field, range).value_or(range.least);
}

auto Reader::number(const std::string_view field, const Range<double> range, const double fallback) -> double
{
    const auto *value = find(field);
    return value == nullptr ? fallback : toNumber(*value, field, range).value_or(fallback);
}

auto Reader::requiredInteger(const std::string_view field, const Range<std::int64_t> range) -> std::int64_t
{
    const auto *value = required(field);
    return value == nullptr ? range.least : toInteger(*value, field, range).value_or(range.least);
}

auto Reader::integer(const std::string_view field, const Range<std::int64_t> range, const std::int64_t fallback)
    -> std::int64_t
{
    const auto *value = find(field);
    return value == nullptr ? fallback : toInteger(*value, field, range).value_or(fallback);
}

auto Reader::boolean(const std::string_view field, const bool fallback) -> bool
{
    const auto *value = find(field);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        report(field, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

auto Reader::milliseconds(const std::string_view field, const Range<Duration> range, const Duration fallback)
    -> Duration
{
    using Milliseconds = std::chrono::duration<double, std::milli>;
    const Range<double> limits{Milliseconds{range.least}.count(), Milliseconds{range.most}.count()};
    const auto value = number(field, limits, Milliseconds{fallback}.count());
    return std::chrono::duration_cast<Duration>(Milliseconds{value});
}

auto Reader::texts(const std::string_view field) -> std::vector<std::string>
{
    std::vector<std::string> all;
    const auto *value = find(field);
    if (value == nullptr) {
        return all;
    }
    const auto isText = [](const nlohmann::json &element) {
        return element.is_string();
    };
    if (!value->is_array() || !std::all_of(value->begin(), value->end(), isText)) {
        report(field, "must be a list of texts");
        return all;
    }
    value->get_to(all);
    return all;
}

auto Reader::section(const std::string_view field) -> Reader
{
    const auto *value = find(field);
    return {value == nullptr ? internal::emptyObject() : *value, {place_.file, pointerTo(field)}, *findings_};
}

auto Reader::sections(const std::string_view field) -> std::vector<Reader>
{
    std::vector<Reader> all;
    const auto *value = find(field);
    if (value == nullptr) {
        return all;
    }
    if (!value->is_array()) {
        report(field, "must be a list of objects");
        return all;
    }
    for (std::size_t index = 0; index < value->size(); ++index) {
        all.emplace_back(
            (*value)[index], Place{place_.file, pointerTo(field) + "/" + std::to_string(index)}, *findings_);
    }
    return all;
}

auto Reader::report(const std::string_view field, std::string reason) -> void
{
    findings_->push_back({place_.file, field.empty() ? place_.pointer : pointerTo(field), std::move(reason)});
}

auto Reader::finish() -> void
{
    for (const auto &item : object_->items()) {
        if (!known_.contains(item.key())) {
            report(item.key(), "unknown field");
        }
    }
}

auto Reader::find(const std::string_view field) -> const nlohmann::json *
{
    known_.emplace(field);
    const auto position = object_->find(field);
    return position == object_->end() ? nullptr : &*position;
}

auto Reader::required(const std::string_view field) -> const nlohmann::json *
{
    const auto *value = find(field);
    if (value == nullptr) {
        report(field, "is missing");
    }
    return value;
}

auto Reader::pointerTo(const std::string_view field) const -> std::string
{
    const nlohmann::json::json_pointer base{place_.pointer};
    return (base / std::string{field}).to_string();
}

auto Reader::toNumber(const nlohmann::json &value, const std::string_view field, const Range<double> range)
    -> std::optional<double>
{
    if (!value.is_number()) {
        report(field, "must be a number");
        return std::nullopt;
    }
    const auto number = value.get<double>();
    if (!std::isfinite(number) || number < range.least || number > range.most) {
        report(field, internal::rangeText(range));
        return std::nullopt;
    }
    return number;
}

auto Reader::toInteger(const nlohmann::json &value, const std::string_view field, const Range<std::int64_t> range)
    -> std::optional<std::int64_t>
{
    if (!value.is_number_integer()) {
        report(field, "must be a whole number");
        return std::nullopt;
    }
    const bool tooLarge =
        value.is_number_unsigned()
        && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const auto number = tooLarge ? 0 : value.get<std::int64_t>();
    if (tooLarge || number < range.least || number > range.most) {
        report(field, internal::rangeText(range));
        return std::nullopt;
    }
    return number;
}

} // namespace jasminelatch::record

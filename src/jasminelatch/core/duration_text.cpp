#include "duration_text.hpp"

#include <charconv>

namespace jasminelatch {

auto parseDuration(std::string_view text) -> std::optional<Duration>
{
    auto unit = 1e6;
    if (text.ends_with("ms")) {
        unit = 1e3;
        text.remove_suffix(2);
    } else if (text.ends_with("s")) {
        text.remove_suffix(1);
    } else {
        return std::nullopt;
    }
    double number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    constexpr double maxSeconds = 1e9;
    if (error != std::errc{} || end != text.data() + text.size() || !(number >= 0.0 && number <= maxSeconds)) {
        return std::nullopt;
    }
    return Duration{static_cast<Duration::rep>(number * unit)};
}

auto toText(const Duration time) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + "ms";
}

} // namespace jasminelatch

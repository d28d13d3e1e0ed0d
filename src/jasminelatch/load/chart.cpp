#include "chart.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <sstream>
#include <vector>

namespace jasminelatch::load {

namespace internal {

constexpr double width = 900;
constexpr double panelHeight = 220;
constexpr double margin = 50;
constexpr double legendWidth = 180;
constexpr double lineHeight = 16;
constexpr std::array<std::string_view, 8> colours{
    "#1b6ca8", "#c0392b", "#e08e0b", "#6c3483", "#148f77", "#7f8c8d", "#b7950b", "#2c3e50"};
constexpr std::string_view offeredColour = "#aaaaaa";

/*! @brief One line of a panel: a value for each interval. */
struct Series {
    std::string name;
    std::string_view colour;
    std::vector<double> values;
};

/*! @brief Panel with lines over a common axis of time. */
struct Panel {
    std::string title;
    double top{};
    std::vector<Series> lines;
};

auto peakOf(const Panel &panel) -> double
{
    double peak = 1.0;
    for (const auto &line : panel.lines) {
        for (const auto value : line.values) {
            peak = std::max(peak, value);
        }
    }
    return peak;
}

auto xOf(const double seconds, const double duration) -> double
{
    return margin + seconds / duration * (width - margin - legendWidth);
}

auto text(std::ostream &out, const double x, const double y, const std::string &content) -> void
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" font-size=\"12\" font-family=\"sans-serif\">" << content
        << "</text>\n";
}

auto seconds(const Duration time) -> double
{
    return std::chrono::duration<double>{time}.count();
}

auto drawPhases(std::ostream &out, const Scenario &scenario, const Panel &panel) -> void
{
    for (const auto &phase : scenario.phases) {
        const auto left = xOf(seconds(phase.start), seconds(scenario.duration));
        const auto right = xOf(std::min(seconds(phase.end), seconds(scenario.duration)), seconds(scenario.duration));
        out << "<rect x=\"" << left << "\" y=\"" << panel.top << "\" width=\"" << right - left << "\" height=\""
            << panelHeight << "\" fill=\"#fdebd0\"/>\n";
        text(out, left + 3, panel.top + lineHeight, phase.name);
    }
}

auto drawLine(std::ostream &out, const Series &line, const Panel &panel, const double peak, const double duration)
    -> void
{
    out << "<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"" << line.colour << "\" points=\"";
    double at = seconds(interval) / 2;
    for (const auto value : line.values) {
        out << xOf(at, duration) << "," << panel.top + panelHeight * (1.0 - value / peak) << " ";
        at += seconds(interval);
    }
    out << "\"/>\n";
}

auto drawPanel(std::ostream &out, const Scenario &scenario, const Panel &panel) -> void
{
    const auto peak = peakOf(panel);
    const auto duration = seconds(scenario.duration);
    drawPhases(out, scenario, panel);
    out << "<rect x=\"" << margin << "\" y=\"" << panel.top << "\" width=\"" << width - margin - legendWidth
        << "\" height=\"" << panelHeight << "\" fill=\"none\" stroke=\"#444444\"/>\n";
    text(out, margin, panel.top - 6, panel.title);
    text(out, 4, panel.top + lineHeight, std::to_string(static_cast<int>(peak)));
    text(out, 4, panel.top + panelHeight, "0");
    auto legend = panel.top + lineHeight;
    for (const auto &line : panel.lines) {
        drawLine(out, line, panel, peak, duration);
        out << "<rect x=\"" << width - legendWidth + 8 << "\" y=\"" << legend - 9
            << "\" width=\"10\" height=\"10\" fill=\"" << line.colour << "\"/>\n";
        text(out, width - legendWidth + 24, legend, line.name);
        legend += lineHeight;
    }
}

auto goodputPanel(const Measures &measures) -> Panel
{
    Series offered{"offered", offeredColour, {}};
    Series whole{"whole answers", colours.front(), {}};
    for (const auto &part : measures.intervals) {
        offered.values.push_back(part.offered);
        whole.values.push_back(part.whole);
    }
    return {"Goodput, weight a second", margin, {std::move(offered), std::move(whole)}};
}

auto refusalPanel(const Measures &measures, const std::span<const Sample> samples) -> Panel
{
    std::map<std::string, std::vector<double>> byReason;
    const auto perSecond = 1.0 / seconds(interval);
    for (const auto &sample : samples) {
        for (const auto &failure : sample.failures) {
            const auto index = static_cast<std::size_t>(failure.at / interval);
            auto &values = byReason.try_emplace(failure.reason, measures.intervals.size(), 0.0).first->second;
            if (index < values.size()) {
                values[index] += perSecond;
            }
        }
    }
    Panel panel{"Failed attempts a second, by reason", margin + panelHeight + margin, {}};
    for (auto &[reason, values] : byReason) {
        panel.lines.push_back({reason, colours.at(panel.lines.size() % colours.size()), std::move(values)});
    }
    return panel;
}

} // namespace internal

auto drawChart(const Scenario &scenario, const Measures &measures, const std::span<const Sample> samples) -> std::string
{
    std::ostringstream out;
    const auto height = 3 * internal::margin + 2 * internal::panelHeight;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << internal::width << "\" height=\"" << height
        << "\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    internal::text(out, internal::margin, internal::lineHeight, scenario.name);
    internal::drawPanel(out, scenario, internal::goodputPanel(measures));
    internal::drawPanel(out, scenario, internal::refusalPanel(measures, samples));
    out << "</svg>\n";
    return out.str();
}

} // namespace jasminelatch::load

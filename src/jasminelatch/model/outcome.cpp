#include "outcome.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <string_view>
#include <utility>

namespace jasminelatch::model {

namespace internal {

constexpr double width = 900;
constexpr double panelHeight = 180;
constexpr double margin = 40;
constexpr std::array<std::string_view, 6> colours{"#1b6ca8", "#c0392b", "#e08e0b", "#6c3483", "#148f77", "#7f8c8d"};

auto text(std::ostream &out, const double x, const double y, const std::string_view content) -> void
{
    out << "<text x=\"" << x << "\" y=\"" << y << "\" font-size=\"12\" font-family=\"sans-serif\">" << content
        << "</text>\n";
}

/*! @brief Draws fractions over time in the panel whose upper edge is at `top`. */
auto line(std::ostream &out, const double top, const std::string_view colour, const std::vector<double> &values) -> void
{
    out << "<polyline fill=\"none\" stroke=\"" << colour << "\" points=\"";
    const auto step = (width - 2 * margin) / static_cast<double>(std::max<std::size_t>(values.size(), 2) - 1);
    for (std::size_t index = 0; index < values.size(); ++index) {
        out << margin + step * static_cast<double>(index) << ','
            << top + panelHeight * (1.0 - std::clamp(values[index], 0.0, 1.0)) << ' ';
    }
    out << "\"/>\n";
}

auto frame(std::ostream &out, const double top, const std::string_view title) -> void
{
    out << "<rect x=\"" << margin << "\" y=\"" << top << "\" width=\"" << width - 2 * margin << "\" height=\""
        << panelHeight << "\" fill=\"none\" stroke=\"#bbbbbb\"/>\n";
    text(out, margin, top - 6, title);
}

auto fraction(const std::uint64_t part, const std::uint64_t whole) -> double
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace internal

auto KindOutcome::servedFraction() const -> double
{
    return internal::fraction(inTarget + late, asked);
}

auto Outcome::total() const -> KindOutcome
{
    KindOutcome sum;
    for (const auto &[name, kind] : kinds) {
        sum.asked += kind.asked;
        sum.inTarget += kind.inTarget;
        sum.late += kind.late;
        sum.servedAfterRefusal += kind.servedAfterRefusal;
        sum.refused += kind.refused;
        sum.failed += kind.failed;
        sum.refusals += kind.refusals;
        sum.refusedWithRoom += kind.refusedWithRoom;
    }
    return sum;
}

auto Outcome::meanUtilization(const std::string &service, const std::size_t from, const std::size_t until) const
    -> double
{
    auto sum = 0.0;
    for (auto second = from; second < until; ++second) {
        sum += seconds.at(second).utilization.at(service);
    }
    return sum / static_cast<double>(until - from);
}

auto Outcome::servedFraction(const std::size_t from, const std::size_t until) const -> double
{
    std::uint64_t asked{};
    std::uint64_t served{};
    for (auto second = from; second < until; ++second) {
        asked += seconds.at(second).asked;
        served += seconds.at(second).served;
    }
    return internal::fraction(served, asked);
}

auto toJson(const Outcome &outcome) -> nlohmann::json
{
    const auto encode = [](const KindOutcome &kind) {
        return nlohmann::json{{"asked", kind.asked},
                              {"in_target", kind.inTarget},
                              {"late", kind.late},
                              {"served_after_refusal", kind.servedAfterRefusal},
                              {"refused", kind.refused},
                              {"failed", kind.failed},
                              {"refusals", kind.refusals},
                              {"refused_with_room", kind.refusedWithRoom},
                              {"served_fraction", kind.servedFraction()}};
    };
    nlohmann::json json{{"total", encode(outcome.total())},
                        {"refusal_p99_ms", static_cast<double>(outcome.refusalTimeP99.count()) / 1e3}};
    for (const auto &[name, kind] : outcome.kinds) {
        json["kinds"][name] = encode(kind);
    }
    for (const auto &second : outcome.seconds) {
        json["seconds"].push_back({{"asked", second.asked},
                                   {"served", second.served},
                                   {"utilization", second.utilization},
                                   {"queued", second.queued}});
    }
    return json;
}

auto drawPlot(const std::string &title, const std::map<std::string, Outcome> &outcomes) -> std::string
{
    const auto panels = static_cast<double>(outcomes.size() + 1);
    const auto pitch = internal::panelHeight + internal::margin;
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << internal::width << "\" height=\""
        << internal::margin + panels * pitch << "\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    auto top = internal::margin;
    internal::frame(out, top, title + ": fraction served, by policy");
    std::size_t colour = 0;
    auto legend = internal::margin + 10;
    for (const auto &[policy, outcome] : outcomes) {
        std::vector<double> served;
        for (const auto &second : outcome.seconds) {
            served.push_back(internal::fraction(second.served, second.asked));
        }
        internal::line(out, top, internal::colours.at(colour), served);
        out << "<g fill=\"" << internal::colours.at(colour) << "\">";
        internal::text(out, legend, top + internal::panelHeight - 8, policy);
        out << "</g>";
        legend += 120;
        colour = (colour + 1) % internal::colours.size();
    }
    for (const auto &[policy, outcome] : outcomes) {
        top += pitch;
        internal::frame(out, top, policy + ": utilization, by service");
        std::map<std::string, std::vector<double>> lines;
        for (const auto &second : outcome.seconds) {
            for (const auto &[service, utilization] : second.utilization) {
                lines[service].push_back(utilization);
            }
        }
        colour = 0;
        legend = internal::margin + 10;
        for (const auto &[service, values] : lines) {
            internal::line(out, top, internal::colours.at(colour), values);
            out << "<g fill=\"" << internal::colours.at(colour) << "\">";
            internal::text(out, legend, top + internal::panelHeight - 8, service);
            out << "</g>";
            legend += 120;
            colour = (colour + 1) % internal::colours.size();
        }
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace jasminelatch::model

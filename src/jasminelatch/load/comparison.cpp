#include "comparison.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace jasminelatch::load {

namespace internal {

constexpr double percent = 100.0;
constexpr int nameWidth = 16;
constexpr int columnWidth = 14;

/*! @brief One line of the table. */
struct Line {
    double triggerGoodput{};
    double triggerShare{1.0};
    double goodput{};
    std::string recovery{"-"};
    std::string worst{"-"};
    double wrongful{};
};

auto longerRecovery(const nlohmann::json &phases) -> std::string
{
    std::int64_t longest{};
    for (std::size_t index = 1; index < phases.size(); ++index) {
        if (!phases[index].contains("recovery_ms")) {
            return "never";
        }
        longest = std::max(longest, phases[index].at("recovery_ms").get<std::int64_t>());
    }
    return phases.size() > 1 ? std::to_string(longest) : "-";
}

auto percentText(const double share) -> std::string
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1) << percent * share;
    return out.str();
}

auto toLine(const nlohmann::json &measures) -> Line
{
    Line line;
    const auto &phases = measures.at("phases");
    line.goodput = measures.at("all").at("whole").get<double>();
    const auto &trigger = phases.size() > 1 ? phases.back() : measures.at("all");
    line.triggerGoodput = trigger.at("whole").get<double>();
    line.triggerShare = trigger.at("share").get<double>();
    line.recovery = longerRecovery(phases);
    line.wrongful = measures.at("wrongful_share").get<double>();
    if (measures.contains("worst")) {
        line.worst = percentText(measures.at("worst").at("share").get<double>());
    }
    return line;
}

auto ratioText(const double first, const double other) -> std::string
{
    if (other <= 0.0) {
        return "-";
    }
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << first / other;
    return out.str();
}

auto cell(std::ostream &out) -> std::ostream &
{
    return out << std::setw(columnWidth);
}

} // namespace internal

auto compareRuns(const std::span<const NamedMeasures> runs) -> std::string
{
    std::ostringstream out;
    if (runs.empty()) {
        return {};
    }
    const auto first = internal::toLine(runs.front().measures);
    out << runs.front().measures.at("scenario").get<std::string>() << ", seed "
        << runs.front().measures.at("seed").get<std::uint64_t>() << "\n"
        << std::left << std::setw(internal::nameWidth) << "mode" << std::right;
    for (const auto *title :
         {"in trigger/s", "served %", "ratio", "whole run/s", "ratio", "recovery ms", "worst %", "wrongful %"}) {
        internal::cell(out) << title;
    }
    out << "\n" << std::fixed << std::setprecision(1);
    for (const auto &run : runs) {
        const auto line = internal::toLine(run.measures);
        out << std::left << std::setw(internal::nameWidth) << run.name << std::right;
        internal::cell(out) << line.triggerGoodput;
        internal::cell(out) << internal::percent * line.triggerShare;
        internal::cell(out) << internal::ratioText(first.triggerGoodput, line.triggerGoodput);
        internal::cell(out) << line.goodput;
        internal::cell(out) << internal::ratioText(first.goodput, line.goodput);
        internal::cell(out) << line.recovery;
        internal::cell(out) << line.worst;
        internal::cell(out) << std::setprecision(2) << internal::percent * line.wrongful << std::setprecision(1)
                            << "\n";
    }
    return out.str();
}

} // namespace jasminelatch::load

#include "pressure.hpp"

#include <algorithm>
#include <cmath>

namespace jasminelatch::admission {

auto openness(const Pressure &pressure) noexcept -> double
{
    return static_cast<double>(pressure.level) + std::clamp(pressure.fraction, 0.0, 1.0);
}

auto setOpenness(Pressure &pressure, const double openness) noexcept -> void
{
    const auto clamped = std::clamp(openness, 0.0, static_cast<double>(importanceCount));
    const auto level = std::max(0.0, std::ceil(clamped) - 1.0);
    pressure.level = static_cast<record::Importance>(level);
    pressure.fraction = clamped - level;
}

auto admittedShare(const double openness, const record::Importance importance) noexcept -> double
{
    return std::clamp(openness - static_cast<double>(importance), 0.0, 1.0);
}

} // namespace jasminelatch::admission

#include "fair_share.hpp"

#include <algorithm>
#include <limits>

namespace jasminelatch::admission {

auto fairShare(std::vector<double> demands, const double capacity) -> double
{
    std::sort(demands.begin(), demands.end());
    auto left = capacity;
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const auto share = left / static_cast<double>(demands.size() - index);
        if (demands[index] > share) {
            return share;
        }
        left -= demands[index];
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace jasminelatch::admission

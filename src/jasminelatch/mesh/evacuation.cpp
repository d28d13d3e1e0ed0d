#include "evacuation.hpp"

#include <tuple>

namespace jasminelatch::mesh {

auto isNewer(const Evacuation &left, const Evacuation &right) -> bool
{
    return std::tie(left.era, left.revision) > std::tie(right.era, right.revision);
}

} // namespace jasminelatch::mesh

#include "hop.hpp"

#include <array>

namespace jasminelatch::mesh {

auto toText(const HopReason reason) -> std::string_view
{
    constexpr std::array<std::string_view, 10> names{"none",
                                                     "wrong_instance",
                                                     "leaving",
                                                     "queue_full",
                                                     "expired",
                                                     "rejected",
                                                     "cancelled",
                                                     "unreachable",
                                                     "lost",
                                                     "bad_answer"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace jasminelatch::mesh

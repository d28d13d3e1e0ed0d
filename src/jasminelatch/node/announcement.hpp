#ifndef JASMINELATCH_NODE_ANNOUNCEMENT_HPP
#define JASMINELATCH_NODE_ANNOUNCEMENT_HPP

#include <jasminelatch/call/executor.hpp>
#include <jasminelatch/core/finding.hpp>

#include <optional>
#include <string_view>

namespace jasminelatch::node {

/*! @brief Path at the local port where the backend server announces itself. */
inline constexpr std::string_view announcementPath = "/_jasminelatch/backend";

/**
 * @brief Reads what a backend server announces.
 * @param text JSON object with `url`, `slots`, `connections` and `state` (`starting`, `ready` or `draining`).
 * @param findings Receives everything that is wrong.
 * @return The announcement, or nothing when there were findings.
 */
[[nodiscard]] auto parseAnnouncement(std::string_view text, Findings &findings) -> std::optional<call::Announcement>;

} // namespace jasminelatch::node

#endif

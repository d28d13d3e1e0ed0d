#ifndef JASMINELATCH_CORE_FINDING_HPP
#define JASMINELATCH_CORE_FINDING_HPP

#include <string>
#include <vector>

namespace jasminelatch {

/*! @brief One fault found in settings or records, with its place. */
struct Finding {
    std::string file; /*!< File name, or empty for input that is no file. */
    std::string pointer; /*!< JSON pointer, or `line N` for text that does not parse. */
    std::string reason; /*!< What is wrong, as a short sentence. */

    auto operator==(const Finding &) const -> bool = default;
};

/*! @brief Every fault found in one pass. */
using Findings = std::vector<Finding>;

/**
 * @brief Formats findings for people.
 * @param findings The findings.
 * @return One line each: file, place and reason.
 */
[[nodiscard]] auto toText(const Findings &findings) -> std::string;

} // namespace jasminelatch

#endif

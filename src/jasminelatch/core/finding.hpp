#ifndef JASMINELATCH_CORE_FINDING_HPP
#define JASMINELATCH_CORE_FINDING_HPP

#include <string>
#include <vector>

namespace jasminelatch {

/*! @brief Validation error in settings or records, with its location. */
struct Finding {
    std::string file; /*!< File name; empty for input that does not come from a file. */
    std::string pointer; /*!< JSON pointer, or `line N` for text that cannot be parsed. */
    std::string reason; /*!< Description of the error, one short sentence. */

    auto operator==(const Finding &) const -> bool = default;
};

/*! @brief All errors found in one validation pass. */
using Findings = std::vector<Finding>;

/**
 * @brief Formats validation errors for display.
 * @param findings Errors to format.
 * @return One line per error: file, location and reason.
 */
[[nodiscard]] auto toText(const Findings &findings) -> std::string;

} // namespace jasminelatch

#endif

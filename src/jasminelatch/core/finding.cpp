#include "finding.hpp"

namespace jasminelatch {

auto toText(const Findings &findings) -> std::string
{
    std::string text;
    for (const auto &finding : findings) {
        text += finding.file;
        text += finding.file.empty() ? "" : ": ";
        text += finding.pointer;
        text += finding.pointer.empty() ? "" : ": ";
        text += finding.reason;
        text += '\n';
    }
    return text;
}

} // namespace jasminelatch

#include "directory.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace jasminelatch::control {

namespace leaf = boost::leaf;

auto readDirectory(const std::filesystem::path &directory) -> Result<std::vector<SourceFile>>
{
    std::error_code error;
    std::vector<std::filesystem::path> paths;
    for (std::filesystem::recursive_directory_iterator position{directory, error}, end; !error && position != end;
         position.increment(error)) {
        if (position->path().extension() == ".json") {
            paths.push_back(position->path());
        }
    }
    if (error || paths.empty()) {
        const auto reason = error ? "can't be read: " + error.message() : "has no file that ends in .json";
        return leaf::new_error(Failure{ExitCode::Findings, "no records", {{directory.string(), "", reason}}});
    }
    std::sort(paths.begin(), paths.end());
    std::vector<SourceFile> files;
    for (const auto &path : paths) {
        std::ifstream in{path, std::ios::binary};
        if (!in) {
            return leaf::new_error(Failure{ExitCode::Findings, "no records", {{path.string(), "", "can't be read"}}});
        }
        files.push_back({path.string(), {std::istreambuf_iterator<char>{in}, {}}});
    }
    return files;
}

auto parseFiles(const std::span<const SourceFile> files) -> Result<std::vector<record::Record>>
{
    Findings findings;
    std::vector<record::Record> records;
    for (const auto &file : files) {
        auto found = record::parseFile(file.text, file.name, findings);
        std::move(found.begin(), found.end(), std::back_inserter(records));
    }
    if (!findings.empty()) {
        return leaf::new_error(Failure{ExitCode::Findings, "the records have faults", std::move(findings)});
    }
    return records;
}

} // namespace jasminelatch::control

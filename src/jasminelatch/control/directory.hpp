#ifndef JASMINELATCH_CONTROL_DIRECTORY_HPP
#define JASMINELATCH_CONTROL_DIRECTORY_HPP

#include "failure.hpp"

#include <jasminelatch/record/parse.hpp>

#include <filesystem>
#include <span>
#include <string>
#include <vector>

namespace jasminelatch::control {

/*! @brief File with records. */
struct SourceFile {
    std::string name; /*!< Name for findings. */
    std::string text; /*!< Contents. */
};

/**
 * @brief Reads every `.json` file below a directory, in order of name.
 * @param directory The directory.
 * @return The files; `ExitCode::Findings` when the directory or a file can't be read, or there is none.
 */
[[nodiscard]] auto readDirectory(const std::filesystem::path &directory) -> Result<std::vector<SourceFile>>;

/**
 * @brief Reads the records of files and checks each in itself.
 * @param files The files.
 * @return The records; `ExitCode::Findings` with every finding when something is wrong.
 */
[[nodiscard]] auto parseFiles(std::span<const SourceFile> files) -> Result<std::vector<record::Record>>;

} // namespace jasminelatch::control

#endif

#ifndef JASMINELATCH_PROGRAM_PROGRAM_HPP
#define JASMINELATCH_PROGRAM_PROGRAM_HPP

#include <jasminelatch/core/finding.hpp>

#include <boost/leaf/result.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace jasminelatch::program {

/*! @brief Exit codes of the programs that run until they are stopped. */
enum class ExitCode : int {
    Ok = 0, /*!< Stopped as asked. */
    CutOff = 1, /*!< Stopped, but requests were cut off. */
    BadSettings = 2, /*!< The settings have findings, or can't be read. */
    CannotListen = 3 /*!< A port can't be opened. */
};

/**
 * @brief Lets SIGTERM and SIGINT ask for a stop, and ignores SIGPIPE.
 * @return Becomes true once a stop is asked for.
 */
[[nodiscard]] auto installStopSignals() -> const std::atomic<bool> &;

/**
 * @brief Reads a whole file.
 * @param file File name.
 * @param findings Receives a finding when it can't be read.
 * @return Its text, or nothing.
 */
[[nodiscard]] auto readFile(const std::string &file, Findings &findings) -> std::optional<std::string>;

/**
 * @brief Runs a server and reports a port that can't be opened on standard error.
 * @param run Opens the ports and serves; fails with `net::ListenError`.
 * @return Exit code of the process.
 */
[[nodiscard]] auto runServer(const std::function<boost::leaf::result<ExitCode>()> &run) -> int;

/**
 * @brief Reads and parses a settings file; findings go to standard error.
 * @tparam Settings Type of the settings.
 * @param file File name.
 * @param parse Parses the text; returns nothing when there are findings.
 * @return The settings, or nothing.
 */
template<typename Settings>
[[nodiscard]] auto
readSettings(const std::string &file,
             const std::function<std::optional<Settings>(std::string_view, const std::string &, Findings &)> &parse)
    -> std::optional<Settings>;

/**
 * @brief Writes findings to standard error.
 * @param findings The findings.
 */
auto printFindings(const Findings &findings) -> void;

template<typename Settings>
auto readSettings(
    const std::string &file,
    const std::function<std::optional<Settings>(std::string_view, const std::string &, Findings &)> &parse)
    -> std::optional<Settings>
{
    Findings findings;
    std::optional<Settings> settings;
    if (const auto text = readFile(file, findings)) {
        settings = parse(*text, file, findings);
    }
    printFindings(findings);
    return settings;
}

} // namespace jasminelatch::program

#endif

#ifndef JASMINELATCH_STORE_MEMORY_STORE_HPP
#define JASMINELATCH_STORE_MEMORY_STORE_HPP

#include "request.hpp"

#include <map>
#include <string>
#include <string_view>

namespace jasminelatch::store {

/**
 * @brief Key-value store in memory, the heart of the stand-ins for the platform's store.
 *
 * It does no I/O: the caller hands in the time and holds back waiting watches itself.
 */
class MemoryStore
{
public:
    /**
     * @brief Carries out one operation.
     * @param request The operation.
     * @param now Present time, for entries with a time to live.
     * @return The answer; never `Status::Unknown`.
     */
    auto apply(const Request &request, TimePoint now) -> Answer;

    /**
     * @brief Tells whether a watch has anything to report.
     * @param request A `Watch` operation.
     * @return True when an entry below the prefix changed or went away after `request.after`.
     */
    [[nodiscard]] auto hasNews(const Request &request) const -> bool;

    /**
     * @brief Removes the entries whose time to live has run out.
     * @param now Present time.
     */
    auto expire(TimePoint now) -> void;

private:
    struct Slot {
        std::string value;
        Revision revision{};
        std::optional<TimePoint> expiry;
    };

    [[nodiscard]] auto get(const Request &request) const -> Answer;
    auto put(const Request &request, TimePoint now) -> Answer;
    auto remove(const Request &request) -> Answer;
    [[nodiscard]] auto list(const Request &request) const -> Answer;
    [[nodiscard]] auto conflict(const Request &request) const -> Answer;
    [[nodiscard]] auto revisionOf(std::string_view key) const -> Revision;

    std::map<std::string, Slot, std::less<>> slots_;
    std::map<std::string, Revision, std::less<>> removed_;
    Revision revision_{};
};

} // namespace jasminelatch::store

#endif

#ifndef JASMINELATCH_CONTROL_REPOSITORY_HPP
#define JASMINELATCH_CONTROL_REPOSITORY_HPP

#include "failure.hpp"

#include <jasminelatch/configuration/view.hpp>
#include <jasminelatch/store/request.hpp>

#include <functional>
#include <string>
#include <vector>

namespace jasminelatch::control {

/*! @brief Calls the store and waits for its answer. */
using BlockingCall = std::function<store::Answer(const store::Request &)>;

/**
 * @brief Reads and writes the configuration in the store.
 *
 * Change sets are a log: one entry a revision, each created by compare-and-swap, so that of operators who race for a
 * revision exactly one wins.
 */
class Repository
{
public:
    /**
     * @brief Remembers how to call the store.
     * @param call Calls the store.
     */
    explicit Repository(BlockingCall call);

    /*! @brief Reads the newest configuration. */
    [[nodiscard]] auto read() const -> Result<configuration::View>;

    /**
     * @brief Writes a change set.
     * @param change The change set; its revision follows the one that it was made from, its write id is unique.
     * @return Its revision; `ExitCode::Conflict` when another change took that revision, and
     *         `ExitCode::StoreUnreachable` when the store does not tell the outcome.
     */
    [[nodiscard]] auto write(const configuration::ChangeSet &change) const -> Result<configuration::Revision>;

    /**
     * @brief Writes a snapshot when the last one is old, and removes change sets that nobody needs any more.
     * @param view Newest configuration.
     * @return Whether a snapshot was written. A failure leaves the configuration as it was.
     */
    [[nodiscard]] auto compact(const configuration::View &view) const -> Result<bool>;

    /**
     * @brief Reads every entry below a prefix.
     * @param prefix The prefix.
     * @return The entries in order of key.
     */
    [[nodiscard]] auto list(const std::string &prefix) const -> Result<std::vector<store::Entry>>;

    /**
     * @brief Reads one entry.
     * @param key Its key.
     * @return The entry; revision zero when it is absent.
     */
    [[nodiscard]] auto get(const std::string &key) const -> Result<store::Entry>;

    /**
     * @brief Swaps one entry; an unknown outcome is settled by reading it.
     * @param before The entry as it was read.
     * @param value New value; differs from every earlier one.
     * @return Nothing; `ExitCode::Conflict` when the entry has changed since.
     */
    [[nodiscard]] auto swap(const store::Entry &before, const std::string &value) const -> Result<void>;

private:
    [[nodiscard]] auto callRead(const store::Request &request) const -> Result<store::Answer>;
    [[nodiscard]] auto readOnce() const -> Result<configuration::View>;
    [[nodiscard]] auto readBase() const -> Result<configuration::Base>;
    [[nodiscard]] auto readParts(const configuration::Base &base) const
        -> Result<std::vector<configuration::SnapshotPart>>;
    [[nodiscard]] auto settle(const configuration::ChangeSet &change, const std::string &present) const
        -> Result<configuration::Revision>;
    [[nodiscard]] auto confirmPlace(const configuration::ChangeSet &change) const -> Result<configuration::Revision>;
    [[nodiscard]] auto writeSnapshot(const configuration::View &view) const -> Result<configuration::Base>;
    [[nodiscard]] auto removeOld(configuration::Revision base) const -> Result<void>;
    auto removeEntry(const store::Entry &entry) const -> void;

    BlockingCall call_;
};

} // namespace jasminelatch::control

#endif

#ifndef JASMINELATCH_SIDECAR_STORE_WRITER_HPP
#define JASMINELATCH_SIDECAR_STORE_WRITER_HPP

#include "decision_log.hpp"
#include "dialect.hpp"
#include "store_channel.hpp"

#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/event/loop.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace jasminelatch::sidecar {

/**
 * @brief Writes items that must outlast this process, and tells when the store has them.
 *
 * The items have no lease. A write is retried until the store acknowledges it, and all are written again when an older
 * copy has replaced the store. Each write expects the revision before it, since the store may execute one whose answer
 * was lost seconds later, when it must not replace a newer value.
 */
class StoreWriter
{
public:
    /*! @brief Timeout and backoff of writes. */
    struct Settings {
        Duration callTimeout{std::chrono::milliseconds{500}}; /*!< Timeout of one write. */
        Duration initialBackoff{std::chrono::milliseconds{50}}; /*!< Delay after a failed write; doubles each time. */
        Duration maxBackoff{std::chrono::seconds{1}}; /*!< Upper bound of the delay. */
    };

    /*! @brief Dependencies; all must outlive the writer. */
    struct Context {
        event::Loop &loop; /*!< Event loop. */
        const Dialect &dialect; /*!< Adapter to the platform, with its store API. */
        DecisionLog &log; /*!< Records failed writes. */
        Counters &counters; /*!< Receives `store.keep` and `store.failed`. */
    };

    /*! @brief Functions of the owner of the items. */
    struct Hooks {
        /*! @brief A write met an item that this process has not written; it is replaced by the value that was put last,
         * which may be put during the call. */
        std::function<void(const StoreItem &item)> conflictFound;
    };

    /*! @brief Called once: whether the store has the item, or the time ran out first. */
    using Finished = std::function<void(bool isStored)>;

    /**
     * @brief Creates a writer; it connects on the first write.
     * @param context Dependencies.
     * @param store Address of the store.
     * @param settings Timeout and backoff.
     * @param hooks Functions of the owner of the items.
     */
    StoreWriter(Context context, const event::Endpoint &store, Settings settings, Hooks hooks);

    StoreWriter(const StoreWriter &) = delete;
    auto operator=(const StoreWriter &) -> StoreWriter & = delete;
    ~StoreWriter() = default;

    /**
     * @brief Writes an item unless the store already has this value from this process.
     * @param key Key in the store.
     * @param value Value.
     */
    auto put(const std::string &key, std::string value) -> void;

    /**
     * @brief Removes an item that this process has put; ignored if there is none.
     * @param key Key in the store.
     */
    auto remove(const std::string &key) -> void;

    /**
     * @brief Waits until the store has acknowledged the value that was put last.
     * @param key Key of an item that was put.
     * @param longest Time after which the wait ends.
     * @param finished Callback; called at once if the store has the value.
     */
    auto whenStored(const std::string &key, Duration longest, Finished finished) -> void;

    /*! @brief Writes all items again, since an older copy has replaced the store. */
    auto rewriteAll() -> void;

private:
    struct Wait {
        event::TimerId timer{};
        Finished finished;
    };

    struct Item {
        std::optional<std::string> value; /*!< Nothing if the item is to be removed. */
        std::uint64_t revision{}; /*!< Its last known revision in the store; zero if it is not there. */
        bool isStored{}; /*!< Whether the store has acknowledged the value. */
        std::map<std::uint64_t, Wait> waits;
    };

    /*! @brief Write that is under way. */
    struct Write {
        std::string key;
        std::optional<std::string> value;
        std::uint64_t round{};
    };

    auto writeNext() -> void;
    auto handleResult(const Write &write, const HttpConnection::Result &result) -> void;
    auto handleConflict(const Write &write, const mesh::Answer &answer) -> void;
    auto retryLater() -> void;
    auto endWait(const std::string &key, std::uint64_t wait) -> void;

    Context context_;
    Settings settings_;
    Hooks hooks_;
    StoreChannel channel_;
    std::map<std::string, Item> items_;
    Duration backoff_;
    std::uint64_t lastWait_{};
    std::uint64_t round_{}; /*!< Number of times that all items had to be written again. */
    bool isBusy_{}; /*!< Whether a write or the delay after a failed one is under way. */
};

} // namespace jasminelatch::sidecar

#endif

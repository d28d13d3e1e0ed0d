#ifndef JASMINELATCH_RETRY_LEDGER_HPP
#define JASMINELATCH_RETRY_LEDGER_HPP

#include "message.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace jasminelatch::retry {

/**
 * @brief Grants the retries of the client requests that entered at this node.
 *
 * However deep and wide the tree of calls below a client request, at most its limit of retries is granted.
 */
class Ledger
{
public:
    /*! @brief Ways out of the controller. */
    struct Hooks {
        std::function<void(const NodeAddress &to, Message)> send; /*!< Sends a message to a node. */
    };

    /**
     * @brief Makes an empty ledger.
     * @param clock Clock of this node.
     * @param counters Counters of this node.
     * @param hooks Ways out; all are required.
     */
    Ledger(const Clock &clock, Counters &counters, Hooks hooks);

    /**
     * @brief Starts the account of a client request.
     * @param request Id of the client request, unique over all nodes and restarts.
     * @param limit Retries allowed over its whole tree of calls.
     * @param lifetime Time until its deadline, in microseconds; it is closed and forgotten then.
     * @return False when the request is known already; nothing changes then.
     */
    auto open(const RequestId &request, std::uint32_t limit, Duration lifetime) -> bool;

    /**
     * @brief Ends a client request: nothing is granted to it any more.
     * @param request Id of the client request; unknown ones are ignored.
     */
    auto close(const RequestId &request) -> void;

    /**
     * @brief Decides on one ask; the same ask gets the same grant again and counts once.
     * @param ask The ask.
     * @return `Granted`, `Limit`, `UnknownRequest` or `Closed`.
     */
    auto decide(const Ask &ask) -> Verdict;

    /**
     * @brief Takes a message; grants are ignored.
     * @param from Node that sent it.
     * @param message The message.
     */
    auto receive(const NodeAddress &from, const Message &message) -> void;

    /*! @brief Forgets client requests past their deadline; call it every 10 to 50 ms. */
    auto tick() -> void;

    /**
     * @brief Returns the number of client requests known.
     * @return Open ones and closed ones before their deadline.
     */
    [[nodiscard]] auto size() const noexcept -> std::size_t { return entries_.size(); }

private:
    struct Entry {
        std::uint32_t limit{};
        TimePoint deadline;
        std::set<AskId> granted;
        bool closed{};
    };

    [[nodiscard]] auto verdictOf(const Ask &ask) -> Verdict;

    const Clock *clock_;
    Counters *counters_;
    Hooks hooks_;
    std::unordered_map<RequestId, Entry> entries_;
    std::multimap<TimePoint, RequestId> deadlines_;
};

} // namespace jasminelatch::retry

#endif

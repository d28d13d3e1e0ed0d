#ifndef JASMINELATCH_NODE_CORE_HPP
#define JASMINELATCH_NODE_CORE_HPP

#include "controllers.hpp"
#include "request_path.hpp"
#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/core/counters.hpp>
#include <jasminelatch/wire/message.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace jasminelatch::node {

/**
 * @brief All decisions of one node, without I/O.
 *
 * Events go in by its methods, actions come out by its hooks. It belongs to one thread.
 */
class Core
{
public:
    /*! @brief Ways out; none may call back at once. */
    struct Hooks {
        store::Call store; /*!< Calls the store. */
        std::function<void(const NodeAddress &to, std::string bytes)> send; /*!< Sends bytes to another node. */
        std::function<void(const NodeAddress &)> reopen; /*!< Opens a new connection to a node. */
        std::function<void(const call::BackendCall &)> callBackend; /*!< Calls the backend server. */
        std::function<void(const RequestId &)> cancelBackend; /*!< Ends a call to the backend server. */
        std::function<void(DoorNumber, net::HttpResponse)> answer; /*!< Answers a request; once for each. */
    };

    /**
     * @brief Creates a node that has not joined yet.
     * @param settings Settings.
     * @param incarnation Number of this process, higher than any before at this address.
     * @param clock Clock; must outlive the core.
     * @param hooks Ways out.
     */
    Core(const Settings &settings, std::uint64_t incarnation, const Clock &clock, Hooks hooks);

    Core(const Core &) = delete;
    auto operator=(const Core &) -> Core & = delete;

    /*! @brief Joins the fleet. */
    auto start() -> void;
    /*! @brief Does all timed work; to be called every 10 to 50 ms. */
    auto tick() -> void;
    /*! @brief Takes a request; exactly one `Hooks::answer` follows. */
    auto handle(DoorNumber from, net::HttpRequest request) -> void;
    /*! @brief Tells that the sender of a request is gone. */
    auto gone(DoorNumber from) -> void;
    /*! @brief Takes what the backend server announces. */
    auto announce(call::Announcement announcement) -> void;
    /*! @brief Tells how a call to the backend server ended. */
    auto backendAnswered(const RequestId &attempt, call::BackendResult result) -> void;
    /*! @brief Takes bytes from another node; malformed ones are counted and dropped. */
    auto receive(const NodeAddress &from, std::string_view bytes) -> void;
    /*! @brief Tells that a connection to a node carries messages. */
    auto connectionOpened(const NodeAddress &peer) -> void;
    /*! @brief Tells that the connection to a node broke. */
    auto connectionClosed(const NodeAddress &peer) -> void;
    /*! @brief Stops taking work; finishes what is open. */
    auto leave() -> void;

    /**
     * @brief Tells whether a leaving node has finished.
     * @return True when no request is open and the fleet knows.
     */
    [[nodiscard]] auto finished() -> bool;

    /*! @brief Runs the store's answer to a call and what follows from it. */
    auto run(const std::function<void()> &event) -> void;

    /*! @brief Describes the node for operators. */
    [[nodiscard]] auto status() -> nlohmann::json;
    /*! @brief Returns the counters. */
    [[nodiscard]] auto counters() const noexcept -> const Counters & { return counters_; }
    /*! @brief Returns the counters, for parts outside the core. */
    [[nodiscard]] auto counters() noexcept -> Counters & { return counters_; }
    /*! @brief Returns the shared state. */
    [[nodiscard]] auto controllers() noexcept -> Controllers & { return controllers_; }
    /*! @brief Returns the request path. */
    [[nodiscard]] auto requestPath() noexcept -> RequestPath & { return requestPath_; }

private:
    struct Local {
        wire::Message message;
    };

    [[nodiscard]] auto controllerHooks() -> Controllers::Hooks;
    [[nodiscard]] auto requestHooks() -> RequestPath::Hooks;
    auto send(const NodeAddress &to, wire::Message message) -> void;
    auto deliver(const NodeAddress &from, const wire::Message &message) -> void;
    auto deliverLocal() -> void;
    auto syncAnnouncement() -> void;

    NodeAddress self_;
    Hooks hooks_;
    Counters counters_;
    std::deque<Local> local_;
    Controllers controllers_;
    RequestPath requestPath_;
    bool announced_{}; /*!< Whether peers were told of the backend server. */
    bool leaving_{};
};

} // namespace jasminelatch::node

#endif

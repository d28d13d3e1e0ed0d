#ifndef JASMINELATCH_NODE_RUNTIME_HPP
#define JASMINELATCH_NODE_RUNTIME_HPP

#include "core.hpp"
#include "doors.hpp"
#include "event_queue.hpp"
#include "settings.hpp"

#include <jasminelatch/core/clock.hpp>
#include <jasminelatch/net/http_client.hpp>
#include <jasminelatch/net/http_server.hpp>
#include <jasminelatch/net/peer_transport.hpp>

#include <boost/leaf/result.hpp>

#include <atomic>
#include <memory>
#include <unordered_map>

namespace jasminelatch::node {

/**
 * @brief Node process: one thread decides, the threads of HTTP and websockets move bytes.
 */
class Runtime
{
public:
    /**
     * @brief Prepares a node.
     * @param settings Settings.
     */
    explicit Runtime(const Settings &settings);

    Runtime(const Runtime &) = delete;
    auto operator=(const Runtime &) -> Runtime & = delete;
    ~Runtime();

    /**
     * @brief Opens the ports.
     * @return Nothing, or a `net::ListenError`.
     */
    [[nodiscard]] auto open() -> boost::leaf::result<void>;

    /**
     * @brief Runs until the node has left the fleet or the leave takes too long.
     * @param stopRequested Set by a signal; begins the leave.
     * @return True when no request was cut off.
     */
    [[nodiscard]] auto run(const std::atomic<bool> &stopRequested) -> bool;

private:
    [[nodiscard]] auto coreHooks() -> Core::Hooks;
    [[nodiscard]] auto transportHooks() -> net::PeerTransport::Hooks;
    [[nodiscard]] auto openDoor(const std::string &host, std::uint16_t port, call::Origin origin)
        -> boost::leaf::result<std::unique_ptr<net::HttpServer>>;
    [[nodiscard]] auto openOperatorPort() -> boost::leaf::result<std::unique_ptr<net::HttpServer>>;
    auto callBackend(const call::BackendCall &call) -> void;
    auto cancelBackend(const RequestId &attempt) -> void;
    auto callStore(store::Request request, store::Callback callback) -> void;
    auto answerOperator(const net::HttpRequest &request) -> net::HttpResponse;
    auto maintain() -> void;
    auto sendLastAnswers() -> void;

    Settings settings_;
    Clock clock_;
    EventQueue events_;
    bool leaving_{};
    Doors doors_;
    std::unordered_map<RequestId, net::HttpClient::CallNumber> backendCalls_;
    Core core_;
    std::unique_ptr<net::PeerTransport> transport_;
    std::unique_ptr<net::HttpClient> backendClient_;
    std::unique_ptr<net::HttpClient> storeClient_;
    std::unique_ptr<net::HttpServer> callerDoor_;
    std::unique_ptr<net::HttpServer> localDoor_;
    std::unique_ptr<net::HttpServer> operatorPort_;
};

} // namespace jasminelatch::node

#endif

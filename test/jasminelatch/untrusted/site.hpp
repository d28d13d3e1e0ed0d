#ifndef JASMINELATCH_TEST_UNTRUSTED_SITE_HPP
#define JASMINELATCH_TEST_UNTRUSTED_SITE_HPP

#include <jasminelatch/sidecar/test_node.hpp>

#include <gtest/gtest.h>
#include <support/process.hpp>
#include <sys/resource.h>

#include <csignal>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminelatch::sidecar {

/*! @brief `memory_mb` of each node; also the bound of its resident memory. */
constexpr std::size_t nodeMemoryMb = 64;
/*! @brief Descriptors that a node's process may open. */
constexpr rlim_t nodeDescriptors = 512;
/*! @brief Bound of the descriptors that a crowd may make a node open; the others are for peers, the store and reports.
 */
constexpr std::size_t descriptorBound = 448;
/*! @brief Largest request body that the configuration allows. */
constexpr std::size_t maxBodyBytes = std::size_t{8} << 20;
/*! @brief Body of the response to a request for `/m/long`. */
constexpr std::size_t longAnswerBytes = std::size_t{8} << 20;

/*! @brief Configuration with low limits and timeouts longer than those of a slow instance. */
inline auto lowLimits(const std::size_t maxBody) -> std::string
{
    auto text = plainConfiguration("0000000c", R"("k1")");
    for (const std::string old : {R"("timeout":"1s")", R"("timeout":"600ms")"}) {
        text.replace(text.find(old), old.size(), R"("timeout":"5s")");
    }
    const std::string limits = R"(,{"resource-kind":"limits","spec":{"max-header-bytes":16384,"max-body-bytes":)"
                             + std::to_string(maxBody) + R"(,"header-timeout":"2s","idle-timeout":"2s"}}]})";
    return text.replace(text.rfind("]}"), 2, limits);
}

/*! @brief Instance that responds at once, to `/m/long` with a long body, or accepts connections and reads nothing. */
struct StandInInstance {
    StandInInstance(Loopback &toLoopback, std::string name)
        : loopback{&toLoopback}
        , id{std::move(name)}
    {
        serve();
    }

    auto serve() -> void
    {
        deaf.reset();
        deafListener.reset();
        server = std::make_unique<HttpServer>(
            loopback->loop,
            HttpServer::Hooks{[this](const mesh::Request &request, const HttpServer::Respond &respond) {
                                  respond(answer(request));
                                  return std::uint64_t{0};
                              },
                              [](std::uint64_t) {},
                              [] {
                                  return mesh::Limits{};
                              }});
        if (const auto error = server->open(endpoint)) {
            throw std::runtime_error{*error};
        }
    }

    /*! @brief Accepts connections from now on without reading from them. */
    auto stopReading() -> void
    {
        loopback->loop.destroyLater(std::move(server));
        loopback->runFor(20ms);
        deaf = std::make_unique<std::vector<boost::asio::ip::tcp::socket>>();
        deafListener = std::make_unique<event::Listener>(
            loopback->loop, [this](boost::asio::ip::tcp::socket socket) { deaf->push_back(std::move(socket)); });
        if (const auto error = deafListener->open(endpoint)) {
            throw std::runtime_error{*error};
        }
    }

    [[nodiscard]] auto answer(const mesh::Request &request) const -> mesh::Answer
    {
        mesh::Answer answer{
            200, {}, {{"Response-Seal", "seal-" + id}, {"Instance-Id", id}, {"Instance-Load", "0,0,20"}}, "from " + id};
        if (request.target == "/m/long") {
            answer.body = std::string(longAnswerBytes, 'x');
        }
        if (const auto *attempt = mesh::findField(request.fields, "Attempt-Id"); attempt != nullptr) {
            answer.fields.push_back({"Attempt-Id", *attempt});
        }
        return answer;
    }

    Loopback *loopback;
    std::string id;
    event::Endpoint endpoint{Loopback::freeEndpoint()};
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<std::vector<boost::asio::ip::tcp::socket>> deaf;
    std::unique_ptr<event::Listener> deafListener;
};

/*! @brief Process of `jasminelatch-sidecar` beside a stand-in instance. */
struct NodeProcess {
    NodeProcess(Loopback &loopback,
                const event::Endpoint &store,
                const std::string &name,
                std::string ofService,
                const std::size_t memoryMb = nodeMemoryMb)
        : service{std::move(ofService)}
        , instance{loopback, "i-" + name}
        , file{std::filesystem::path{testing::TempDir()} / ("untrusted-" + std::to_string(callers.port) + ".json")}
    {
        const nlohmann::json settings{{"name", name},
                                      {"failure_domain", "a"},
                                      {"service", service},
                                      {"instance", event::toText(instance.endpoint)},
                                      {"store", event::toText(store)},
                                      {"listen",
                                       {{"callers", event::toText(callers)},
                                        {"ready", event::toText(ready)},
                                        {"reports", event::toText(reports)},
                                        {"peers", event::toText(peers)},
                                        {"metrics", event::toText(metrics)}}},
                                      {"terms",
                                       {{"grace", "4s"},
                                        {"revocation", "2s"},
                                        {"repeat_ratio", 0.2},
                                        {"repeat_slack", 48},
                                        {"repeat_window", "10s"},
                                        {"cap_over_part", 0.1},
                                        {"cap_window", "5s"},
                                        {"cap_excess", 20}}},
                                      {"limits", {{"memory_mb", memoryMb}}}};
        std::ofstream{file} << settings;
        // The child inherits the lowered limit of a node's machine; this process gets its own back.
        rlimit own{};
        getrlimit(RLIMIT_NOFILE, &own);
        const rlimit lowered{nodeDescriptors, own.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
        process = test::Process{{JASMINELATCH_SIDECAR, file.string()}, file.string() + ".log"};
        setrlimit(RLIMIT_NOFILE, &own);
    }

    NodeProcess(const NodeProcess &) = delete;
    auto operator=(const NodeProcess &) -> NodeProcess & = delete;

    ~NodeProcess()
    {
        process.kill();
        std::error_code ignored;
        std::filesystem::remove(file, ignored);
        std::filesystem::remove(file.string() + ".log", ignored);
    }

    /*! @brief Returns the exit code, or nothing while the process lives. */
    auto exitCode() -> std::optional<int>
    {
        if (process.running()) {
            if (const auto code = process.wait(0ms)) {
                ended = code;
            }
        }
        return ended;
    }

    /*! @brief Returns the largest resident memory so far in bytes; zero once the process has ended. */
    [[nodiscard]] auto peakMemory() const -> std::size_t
    {
        std::ifstream status{"/proc/" + std::to_string(process.pid()) + "/status"};
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6)) << 10;
            }
        }
        return 0;
    }

    [[nodiscard]] auto openDescriptors() const -> std::size_t
    {
        std::error_code error;
        std::filesystem::directory_iterator entry{"/proc/" + std::to_string(process.pid()) + "/fd", error};
        std::size_t count{};
        while (!error && entry != std::filesystem::directory_iterator{}) {
            ++count;
            entry.increment(error);
        }
        return count;
    }

    std::string service;
    event::Endpoint callers{Loopback::freeEndpoint()};
    event::Endpoint ready{Loopback::freeEndpoint()};
    event::Endpoint reports{Loopback::freeEndpoint()};
    event::Endpoint peers{Loopback::freeEndpoint()};
    event::Endpoint metrics{Loopback::freeEndpoint()};
    StandInInstance instance;
    std::filesystem::path file;
    test::Process process;
    std::optional<int> ended;
    std::size_t mostDescriptors{};
};

/*! @brief Client that sends bytes once and then others without end, and reads as fast as it is told to. */
class UntrustedClient
{
public:
    /*! @brief What the client sends. */
    struct Script {
        std::string first; /*!< Sent at once. */
        std::string repeated; /*!< Sent again and again; empty for nothing. */
        std::size_t repeatedBytes{std::numeric_limits<std::size_t>::max()}; /*!< Bytes after which it stops. */
        std::size_t pieceBytes{65536}; /*!< Bytes sent at a time. */
    };

    UntrustedClient(Loopback &loopback, const event::Endpoint &to, Script script)
        : script_{std::move(script)}
        , stream_{loopback.loop,
                  to,
                  std::chrono::seconds{60},
                  {[this](const std::span<const char> bytes) {
                       received_ += bytes.size();
                       head_.append(
                           bytes.data(),
                           std::min(bytes.size(), std::size_t{100} - std::min<std::size_t>(head_.size(), 100)));
                   },
                   [this](std::string_view) { closed_ = true; },
                   {},
                   {}}}
    {
        if (!script_.repeated.empty()) {
            while (block_.size() < script_.pieceBytes) {
                block_ += script_.repeated;
            }
        }
        stream_.write(script_.first);
    }

    /*! @brief Keeps some bytes under way. */
    auto feed() -> void
    {
        if (closed_ || block_.empty() || !stream_.isOpen() || stream_.pendingBytes() >= block_.size()) {
            return;
        }
        const auto size = std::min(block_.size(), script_.repeatedBytes - fed_);
        stream_.write(std::string_view{block_}.substr(0, size));
        fed_ += size;
    }

    auto pauseReading(const bool paused) -> void
    {
        if (!closed_) {
            stream_.pauseReading(paused);
        }
    }

    [[nodiscard]] auto received() const -> std::size_t { return received_; }
    [[nodiscard]] auto head() const -> const std::string & { return head_; }
    [[nodiscard]] auto closed() const -> bool { return closed_; }

private:
    Script script_;
    std::string block_;
    std::size_t fed_{};
    std::size_t received_{};
    std::string head_;
    bool closed_{};
    event::Stream stream_;
};

/*! @brief Request head with credentials, without the empty line at its end. */
inline auto headOf(const std::string &start, const std::string &fields = {}) -> std::string
{
    static int lastId{};
    return start + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer k1\r\nAttempt-Id: crowd-"
         + std::to_string(++lastId) + "\r\n" + fields;
}

/*! @brief A node beside an instance of the service `orders`, and one that callers enter by, or the same node for both.
 */
struct Site: testing::Test {
    /*! @brief Sizes that the settings and the configuration state. */
    struct Sizes {
        std::size_t memoryMb{};
        std::size_t maxBodyBytes{};
    };

    /*! @brief Starts the nodes; the test fails if they don't serve. */
    auto start(const bool behindAnotherNode, const Sizes &sizes = {nodeMemoryMb, maxBodyBytes}) -> void
    {
        memoryMb = sizes.memoryMb;
        store.put("op/config", base64(lowLimits(sizes.maxBodyBytes)));
        nodes.push_back(std::make_unique<NodeProcess>(loopback, storeAt, "back", "orders", memoryMb));
        if (behindAnotherNode) {
            nodes.push_back(std::make_unique<NodeProcess>(loopback, storeAt, "front", "catalogue", memoryMb));
        }
        for (const auto &node : nodes) {
            ASSERT_TRUE(
                loopback.runUntil([&] { return getFrom(loopback, node->ready, "/v1/ready").status == 200; }, 20s));
        }
        const nlohmann::json report{
            {"service", "orders"}, {"slots", 20}, {"state", "ready"}, {"sequence", 1}, {"born", 1700}};
        ASSERT_EQ(sendTo(loopback,
                         back().reports,
                         {"POST", "/v1/Instances.Heartbeat/" + back().instance.id, {{"Host", "x"}}, report.dump()})
                      .status,
                  200U);
        ASSERT_TRUE(isOrdinaryRequestAnswered());
    }

    /*! @brief Ends the processes and lets the stand-ins release the connections to them. */
    auto TearDown() -> void override
    {
        crowd.clear();
        for (const auto &node : nodes) {
            node->process.kill();
        }
        loopback.runFor(50ms);
    }

    auto back() -> NodeProcess & { return *nodes.front(); }
    auto front() -> NodeProcess & { return *nodes.back(); }

    /*! @brief Adds clients to the crowd. */
    auto join(const event::Endpoint &to, const std::function<UntrustedClient::Script()> &script, const int count)
        -> void
    {
        for (auto added = 0; added < count; ++added) {
            crowd.push_back(std::make_unique<UntrustedClient>(loopback, to, script()));
        }
    }

    /*! @brief Lets the crowd send until a condition holds, at most for a time. */
    auto runCrowd(
        const Duration longest, const std::function<bool()> &done = [] { return false; }) -> bool
    {
        const auto end = loopback.clock.now() + longest;
        while (loopback.clock.now() < end && !done()) {
            for (const auto &client : crowd) {
                client->feed();
            }
            loopback.runFor(1ms);
            for (const auto &node : nodes) {
                node->mostDescriptors = std::max(node->mostDescriptors, node->openDescriptors());
            }
        }
        return done();
    }

    /*! @brief Tries an ordinary request until it is answered; the limit is generous, since only a failing test reaches
     * it. */
    auto isOrdinaryRequestAnswered() -> bool
    {
        static int lastId{};
        const auto end = loopback.clock.now() + 30s;
        while (loopback.clock.now() < end && !front().exitCode() && !back().exitCode()) {
            const auto answer = sendTo(loopback,
                                       front().callers,
                                       {"GET",
                                        "/m/1",
                                        {{"Host", "a.example"},
                                         {"Attempt-Id", "ordinary-" + std::to_string(++lastId)},
                                         {"Authorization", "Bearer k1"}},
                                        {}});
            if (answer.status == 200) {
                return true;
            }
            runCrowd(100ms);
        }
        return false;
    }

    /*! @brief Checks that each node lives, has stayed under its bounds and that an ordinary request is answered. */
    auto expectHealthy() -> void
    {
        const auto isAnswered = isOrdinaryRequestAnswered();
        for (const auto &node : nodes) {
            const auto code = node->exitCode();
            const auto peak = node->peakMemory();
            std::cout << "node of " << node->service << ": "
                      << (code ? "exit " + std::to_string(*code) : "peak " + std::to_string(peak >> 20) + " MB") << ", "
                      << node->mostDescriptors << " descriptors\n";
            EXPECT_FALSE(code) << "the process has ended";
            EXPECT_LT(peak, memoryMb << 20);
            EXPECT_LE(node->mostDescriptors, descriptorBound);
        }
        EXPECT_TRUE(isAnswered);
    }

    Loopback loopback;
    event::Endpoint storeAt{Loopback::freeEndpoint()};
    test::PlatformStore store{loopback.loop, storeAt};
    std::vector<std::unique_ptr<NodeProcess>> nodes;
    std::vector<std::unique_ptr<UntrustedClient>> crowd;
    std::size_t memoryMb{nodeMemoryMb};
};

} // namespace jasminelatch::sidecar

#endif

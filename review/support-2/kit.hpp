#ifndef JASMINELATCH_REVIEW_SUPPORT_2_KIT_HPP
#define JASMINELATCH_REVIEW_SUPPORT_2_KIT_HPP

// Stand-ins of the second review: the platform's store, an instance, a client, and the start of a node as a process.
// They speak what PROTOCOL.md says, on loopback addresses and the real clock. Header only; one program a case.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/*! @brief The case could not run; `run.sh` then exits with 2. */
struct CannotRun: std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline auto unixMilliseconds() -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/*! @brief Writes `record.txt`: one line an event, with the seconds since the start. */
class Record
{
public:
    explicit Record(const std::filesystem::path &file)
        : file_{file}
        , start_{SteadyClock::now()}
    {
    }

    auto write(const std::string &line) -> void
    {
        const std::lock_guard lock{mutex_};
        file_ << std::fixed << seconds() << "  " << line << '\n' << std::flush;
    }

    [[nodiscard]] auto seconds() const -> double
    {
        return std::chrono::duration<double>(SteadyClock::now() - start_).count();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    SteadyClock::time_point start_;
};

/*! @brief Socket that is closed with its owner. */
class Socket
{
public:
    explicit Socket(const int fd = -1)
        : fd_{fd}
    {
    }
    Socket(Socket &&other) noexcept
        : fd_{std::exchange(other.fd_, -1)}
    {
    }
    auto operator=(Socket &&other) noexcept -> Socket &
    {
        reset();
        fd_ = std::exchange(other.fd_, -1);
        return *this;
    }
    ~Socket() { reset(); }

    auto reset() -> void
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
        fd_ = -1;
    }

    [[nodiscard]] auto fd() const -> int { return fd_; }

private:
    int fd_;
};

inline auto loopback(const std::uint16_t port) -> sockaddr_in
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline auto portOf(const int fd) -> std::uint16_t
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

/*! @brief Listens on a loopback port; zero takes a free one. */
inline auto listenOn(const std::uint16_t port) -> Socket
{
    for (int attempt = 0; attempt < 100; ++attempt) {
        Socket socket{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
        const int yes = 1;
        ::setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        const auto address = loopback(port);
        if (::bind(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
            && ::listen(socket.fd(), 512) == 0) {
            return socket;
        }
        std::this_thread::sleep_for(Milliseconds{20});
    }
    throw CannotRun{"cannot listen on port " + std::to_string(port)};
}

inline auto freePorts(const std::size_t count) -> std::vector<std::uint16_t>
{
    std::vector<Socket> sockets;
    std::vector<std::uint16_t> ports;
    for (std::size_t index = 0; index < count; ++index) {
        sockets.push_back(listenOn(0));
        ports.push_back(portOf(sockets.back().fd()));
    }
    return ports;
}

inline auto connectTo(const std::uint16_t port, const Milliseconds timeout = Milliseconds{5000}) -> Socket
{
    Socket socket{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const timeval limit{static_cast<time_t>(timeout.count() / 1000),
                        static_cast<suseconds_t>(timeout.count() % 1000 * 1000)};
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const int yes = 1;
    ::setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    const auto address = loopback(port);
    if (::connect(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        return Socket{};
    }
    return socket;
}

inline auto sendAll(const int fd, const std::string_view bytes) -> bool
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/*! @brief An HTTP message; the header names are in lower case. */
struct Message {
    std::string first; /*!< Request line or status line. */
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] auto field(const std::string &name) const -> std::string
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string{} : found->second;
    }
    [[nodiscard]] auto word(const int index) const -> std::string
    {
        std::istringstream words{first};
        std::string word;
        for (int at = 0; at <= index; ++at) {
            words >> word;
        }
        return word;
    }
    [[nodiscard]] auto status() const -> int { return first.empty() ? 0 : std::atoi(word(1).c_str()); }
};

/*! @brief Reads messages from a connection. */
class Reader
{
public:
    explicit Reader(const int fd)
        : fd_{fd}
    {
    }

    /*! @brief Reads one message; nothing if the connection ended or fell silent before its end. */
    auto read() -> std::optional<Message>
    {
        std::size_t end{};
        while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
            if (!more()) {
                return std::nullopt;
            }
        }
        Message message;
        std::istringstream head{input_.substr(0, end)};
        std::getline(head, message.first);
        if (!message.first.empty() && message.first.back() == '\r') {
            message.first.pop_back();
        }
        for (std::string line; std::getline(head, line);) {
            const auto colon = line.find(':');
            auto name = line.substr(0, colon);
            for (auto &character : name) {
                character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
            }
            auto value = colon == std::string::npos ? std::string{} : line.substr(colon + 1);
            const auto first = value.find_first_not_of(" \t");
            const auto last = value.find_last_not_of(" \t\r");
            message.fields[name] = first == std::string::npos ? "" : value.substr(first, last - first + 1);
        }
        input_.erase(0, end + 4);
        const auto length = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        while (input_.size() < length) {
            if (!more()) {
                return std::nullopt;
            }
        }
        message.body = input_.substr(0, length);
        input_.erase(0, length);
        return message;
    }

private:
    auto more() -> bool
    {
        char buffer[65536];
        const auto count = ::recv(fd_, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            return false;
        }
        input_.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    int fd_;
    std::string input_;
};

inline auto answer(const int status, const std::string &fields, const std::string &body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size())
         + "\r\n\r\n" + body;
}

/*! @brief Server with a thread a connection. The handler writes its answers itself; false closes the connection. */
class Server
{
public:
    using Handler = std::function<bool(int fd, const Message &message)>;

    Server(Handler handler, const std::uint16_t port = 0)
        : handler_{std::move(handler)}
        , listener_{listenOn(port)}
        , port_{portOf(listener_.fd())}
        , accepting_{[this] {
            accept();
        }}
    {
    }
    ~Server() { stop(); }

    /*! @brief Ends all connections and stops listening. */
    auto stop() -> void
    {
        if (isStopped_.exchange(true)) {
            return;
        }
        ::shutdown(listener_.fd(), SHUT_RDWR);
        accepting_.join();
        listener_.reset();
        {
            const std::lock_guard lock{mutex_};
            for (const auto fd : open_) {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        for (auto &thread : threads_) {
            thread.join();
        }
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

private:
    auto accept() -> void
    {
        for (;;) {
            const auto fd = ::accept4(listener_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (isStopped_) {
                    return;
                }
                continue;
            }
            const std::lock_guard lock{mutex_};
            if (isStopped_) {
                ::close(fd);
                return;
            }
            open_.insert(fd);
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }

    auto serve(const int fd) -> void
    {
        Reader reader{fd};
        while (const auto message = reader.read()) {
            if (!handler_(fd, *message)) {
                break;
            }
        }
        const std::lock_guard lock{mutex_};
        open_.erase(fd);
        ::close(fd);
    }

    Handler handler_;
    Socket listener_;
    std::uint16_t port_;
    std::atomic<bool> isStopped_{};
    std::mutex mutex_;
    std::set<int> open_;
    std::list<std::thread> threads_;
    std::thread accepting_;
};

inline auto encodeBase64(const std::string &bytes) -> std::string
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index) {
            group = group << 8U | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        }
        for (std::size_t index = 0; index < 4; ++index) {
            text.push_back(at + index <= bytes.size() || index == 0 ? digits[group >> (18 - 6 * index) & 63U] : '=');
        }
        const auto left = bytes.size() - at;
        if (left < 3) {
            text.replace(text.size() - (3 - left), 3 - left, 3 - left, '=');
        }
    }
    return text;
}

inline auto decodeQuery(const std::string &text) -> std::string
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16)));
            at += 2;
        } else {
            decoded.push_back(text[at]);
        }
    }
    return decoded;
}

inline auto milliseconds(const std::string &text) -> Milliseconds
{
    const auto number = std::stod(text);
    return Milliseconds{static_cast<Milliseconds::rep>(text.ends_with("ms") ? number : number * 1000)};
}

/*! @brief The platform's store: items, ranges, watches, transactions and leases. */
class Store
{
public:
    Store()
        : expiring_{[this] {
            expire();
        }}
        , server_{[this](const int fd, const Message &message) {
            return handle(fd, message);
        }}
    {
    }
    ~Store()
    {
        {
            const std::lock_guard lock{mutex_};
            isStopped_ = true;
        }
        changed_.notify_all();
        server_.stop();
        expiring_.join();
    }

    /*! @brief Writes as the operator does; returns once it is stored, which is the ack. */
    auto put(const std::string &key, const std::string &value) -> void
    {
        const std::lock_guard lock{mutex_};
        putLocked(key, encodeBase64(value), 0);
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return server_.port(); }

private:
    struct Lease {
        SteadyClock::time_point end;
        Milliseconds time;
    };

    auto putLocked(const std::string &key, const std::string &value, const std::uint64_t lease) -> void
    {
        ++revision_;
        const auto known = items_.find(key);
        const auto created =
            known == items_.end() ? revision_ : known->second.at("create-revision").get<std::uint64_t>();
        Json item{
            {"key", key}, {"value", value}, {"revision", revision_}, {"create-revision", created}, {"lease", lease}};
        items_[key] = item;
        events_.push_back(std::move(item));
        changed_.notify_all();
    }

    auto removeLocked(const std::string &key) -> void
    {
        if (items_.erase(key) > 0) {
            ++revision_;
            events_.push_back({{"key", key}, {"revision", revision_}, {"removed", true}});
            changed_.notify_all();
        }
    }

    auto expire() -> void
    {
        std::unique_lock lock{mutex_};
        while (!isStopped_) {
            for (auto lease = leases_.begin(); lease != leases_.end();) {
                lease = lease->second.end < SteadyClock::now() ? endLease(lease) : std::next(lease);
            }
            changed_.wait_for(lock, Milliseconds{50});
        }
    }

    auto endLease(const std::map<std::uint64_t, Lease>::iterator lease) -> std::map<std::uint64_t, Lease>::iterator
    {
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.at("lease").get<std::uint64_t>() == lease->first) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            removeLocked(key);
        }
        return leases_.erase(lease);
    }

    static auto query(const std::string &target) -> std::map<std::string, std::string>
    {
        std::map<std::string, std::string> values;
        std::istringstream parts{target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1)};
        for (std::string part; std::getline(parts, part, '&');) {
            const auto equals = part.find('=');
            values[part.substr(0, equals)] = decodeQuery(part.substr(equals + 1));
        }
        return values;
    }

    static auto reply(const int fd, const int status, const Json &body) -> bool
    {
        return sendAll(fd, answer(status, "Content-Type: application/json\r\nStore-Era: 1\r\n", body.dump()));
    }

    auto handle(const int fd, const Message &message) -> bool
    {
        const auto target = message.word(1);
        const auto path = target.substr(0, target.find('?'));
        auto values = query(target);
        std::unique_lock lock{mutex_};
        if (path == "/v1/kv-range") {
            Json items = Json::array();
            for (const auto &[key, item] : items_) {
                if (key.starts_with(values["path-prefix"]) && key > values["after"]) {
                    items.push_back(item);
                }
            }
            return reply(fd, 200, {{"items", items}, {"has-more", false}, {"current-rev", revision_}});
        }
        if (path == "/v1/kv-watch") {
            const auto end = SteadyClock::now() + Milliseconds{std::stoll(values["wait-ms"])};
            const auto after = std::stoull(values["after"]);
            Json events = Json::array();
            while (!isStopped_) {
                for (const auto &event : events_) {
                    if (event.at("revision").get<std::uint64_t>() > after
                        && event.at("key").get<std::string>().starts_with(values["path-prefix"])) {
                        events.push_back(event);
                    }
                }
                if (!events.empty() || SteadyClock::now() >= end) {
                    break;
                }
                changed_.wait_until(lock, end);
            }
            return reply(fd, 200, {{"events", events}, {"current-rev", revision_}});
        }
        if (path == "/v1/kv-lease") {
            const auto text = Json::parse(message.body).at("ttl_time").get<std::string>();
            leases_[++lastLease_] = {SteadyClock::now() + milliseconds(text), milliseconds(text)};
            return reply(fd, 200, {{"lease", lastLease_}, {"ttl_time", text}});
        }
        if (path.starts_with("/v1/kv-keep/")) {
            const auto found = leases_.find(std::stoull(path.substr(std::string{"/v1/kv-keep/"}.size())));
            if (found == leases_.end()) {
                return reply(fd, 404, Json::object());
            }
            found->second.end = SteadyClock::now() + found->second.time;
            return reply(fd, 200, {{"ttl_time", std::to_string(found->second.time.count()) + "ms"}});
        }
        return path == "/v1/kv-txn" ? transact(fd, Json::parse(message.body)) : reply(fd, 404, Json::object());
    }

    auto transact(const int fd, const Json &call) -> bool
    {
        auto holds = true;
        Json present = Json::array();
        for (const auto &row : call.at("expected-revision")) {
            const auto key = row.at("key").get<std::string>();
            const auto found = items_.find(key);
            const auto revision = found == items_.end() ? 0 : found->second.at("revision").get<std::uint64_t>();
            holds = holds && revision == row.at("revision").get<std::uint64_t>();
            present.push_back(found == items_.end() ? Json{{"key", key}, {"revision", 0}, {"removed", true}}
                                                    : found->second);
        }
        if (!holds) {
            return reply(fd, 412, {{"items", present}});
        }
        for (const auto &put : call.at("puts")) {
            const auto lease = put.at("lease").get<std::uint64_t>();
            if (lease != 0 && !leases_.contains(lease)) {
                return reply(fd, 404, Json::object());
            }
        }
        for (const auto &put : call.at("puts")) {
            putLocked(put.at("key"), put.at("value"), put.at("lease"));
        }
        for (const auto &key : call.at("deletes")) {
            removeLocked(key);
        }
        return reply(fd, 200, {{"revision", revision_}});
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    bool isStopped_{};
    std::uint64_t revision_{100};
    std::uint64_t lastLease_{1000};
    std::map<std::string, Json> items_;
    std::vector<Json> events_;
    std::map<std::uint64_t, Lease> leases_;
    std::thread expiring_;
    Server server_;
};

/*! @brief Settings of a machine; the node beside the instance is started from the deploy file's template. */
struct Machine {
    std::string name;
    std::string zone;
    std::string service;
    std::uint16_t instance{};
    std::uint16_t store{};
    std::vector<std::uint16_t> ports = freePorts(5); /*!< Callers, ready, reports, peers, metrics. */

    [[nodiscard]] auto callers() const -> std::uint16_t { return ports[0]; }
    [[nodiscard]] auto ready() const -> std::uint16_t { return ports[1]; }
    [[nodiscard]] auto reports() const -> std::uint16_t { return ports[2]; }
};

/*! @brief Runs the node of a machine as a process, with the command of the deploy file. */
class Node
{
public:
    Node(const Machine &machine, const std::filesystem::path &folder)
        : machine_{machine}
        , settings_{folder / (machine.name + ".json")}
        , log_{folder / (machine.name + ".log")}
    {
        std::ofstream{settings_} << render();
        start();
    }
    ~Node() { end(SIGKILL); }

    auto start() -> void
    {
        const auto variable = "JASMINELATCH_CONFIG=" + settings_.string();
        pid_ = ::fork();
        if (pid_ == 0) {
            const auto out = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, STDOUT_FILENO);
            ::dup2(out, STDERR_FILENO);
            const char *arguments[] = {"target/src/jasminelatch-sidecar", nullptr};
            const std::string path = std::string{"PATH="} + (std::getenv("PATH") ? std::getenv("PATH") : "");
            const char *environment[] = {
                variable.c_str(), "JASMINELATCH_COLD_OVER=", "JASMINELATCH_COLD_SLACK=", path.c_str(), nullptr};
            ::execve(arguments[0], const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
            ::_exit(127);
        }
        if (pid_ < 0) {
            throw CannotRun{"fork"};
        }
    }

    /*! @brief Ends the process and waits for it. */
    auto end(const int signal) -> void
    {
        if (pid_ > 0) {
            ::kill(pid_, signal);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    [[nodiscard]] auto isRunning() const -> bool { return pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == 0; }
    [[nodiscard]] auto machine() const -> const Machine & { return machine_; }

private:
    [[nodiscard]] auto render() const -> std::string
    {
        const auto at = [](const std::uint16_t port) {
            return "127.0.0.1:" + std::to_string(port);
        };
        const std::map<std::string, std::string> values{{"node-name", machine_.name},
                                                        {"zone", machine_.zone},
                                                        {"service", machine_.service},
                                                        {"app-addr", at(machine_.instance)},
                                                        {"platform.address", at(machine_.store)},
                                                        {"listen-addrs.outbound", at(machine_.ports[0])},
                                                        {"listen-addrs.ready", at(machine_.ports[1])},
                                                        {"listen-addrs.control", at(machine_.ports[2])},
                                                        {"internal-ports.0", std::to_string(machine_.ports[3])},
                                                        {"ip", "127.0.0.1"},
                                                        {"bounds.grace", "6s"},
                                                        {"bounds.revoke", "5000ms"},
                                                        {"bounds.retry-budget-ratio", "0.2"},
                                                        {"bounds.budget-slack", "47"},
                                                        {"bounds.budget-window", "10s"},
                                                        {"bounds.quota-over", "0.1"},
                                                        {"bounds.quota-window", "5s"},
                                                        {"bounds.quota-slack", "20"},
                                                        {"limits.memory-mb", "260"}};
        std::ifstream file{"deploy/node.json.template"};
        std::string text{std::istreambuf_iterator<char>{file}, {}};
        for (std::size_t from = 0; (from = text.find("{{", from)) != std::string::npos;) {
            const auto to = text.find("}}", from);
            const auto found = values.find(text.substr(from + 2, to - from - 2));
            if (to == std::string::npos || found == values.end()) {
                throw CannotRun{"unknown placeholder in the template"};
            }
            text.replace(from, to + 2 - from, found->second);
        }
        // The template names one metrics port for all machines; here they share an address.
        const std::string metrics = "127.0.0.1:7001";
        if (const auto found = text.find(metrics); found != std::string::npos) {
            text.replace(found, metrics.size(), at(machine_.ports[4]));
        }
        return text;
    }

    Machine machine_;
    std::filesystem::path settings_;
    std::filesystem::path log_;
    pid_t pid_{-1};
};

/*! @brief What an instance sends to the `control` address of its machine. */
inline auto report(const std::uint16_t port, const std::string &path, const Json &body) -> int
{
    const auto socket = connectTo(port, Milliseconds{1000});
    const auto text = body.dump();
    if (socket.fd() < 0
        || !sendAll(socket.fd(),
                    "POST " + path + " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(text.size()) + "\r\n\r\n" + text)) {
        return 0;
    }
    const auto reply = Reader{socket.fd()}.read();
    return reply ? reply->status() : 0;
}

/*! @brief One incarnation of an instance: serves, answers its liveness check, and sends status reports. */
class Instance
{
public:
    /*! @brief Sees each request that begins to run. */
    using Ran = std::function<void(const Message &request)>;

    Instance(std::string id, const Machine &machine, Ran ran, const Milliseconds work = Milliseconds{20})
        : id_{std::move(id)}
        , machine_{machine}
        , ran_{std::move(ran)}
        , work_{work}
        , born_{unixMilliseconds()}
        , server_{std::make_unique<Server>([this](const int fd, const Message &message) { return serve(fd, message); },
                                           machine.instance)}
    {
    }
    ~Instance() { end(); }

    /*! @brief Sends a `ready` report every 1.5 s from now on. */
    auto startReports() -> void
    {
        reporting_ = std::thread{[this] {
            std::unique_lock lock{mutex_};
            while (!isLeaving_) {
                lock.unlock();
                sendReport(nextReport());
                lock.lock();
                changed_.wait_for(lock, Milliseconds{1500}, [this] { return isLeaving_; });
            }
        }};
    }

    [[nodiscard]] auto nextReport() -> Json
    {
        return {{"service", machine_.service},
                {"address", "127.0.0.1:" + std::to_string(machine_.instance)},
                {"zone", machine_.zone},
                {"version", "v1"},
                {"slots", slots},
                {"state", "ready"},
                {"cold-left", "0ms"},
                {"sequence", ++sequence_},
                {"born", born_}};
    }

    auto sendReport(const Json &body) -> int
    {
        return report(machine_.reports(), "/v1/Instances.Heartbeat/" + id_, body);
    }

    /*! @brief Begins to leave: no further reports, the liveness check fails, requests are still served. */
    auto leave() -> void
    {
        {
            const std::lock_guard lock{mutex_};
            isLeaving_ = true;
        }
        changed_.notify_all();
        if (reporting_.joinable()) {
            reporting_.join();
        }
    }

    /*! @brief Sends the deregistration; returns the status of the ack. */
    auto deregister() -> int
    {
        return report(machine_.reports(), "/v1/Instances.Deregister/" + id_, {{"born", born_}});
    }

    /*! @brief Exits: ends its connections and stops listening. */
    auto end() -> void
    {
        leave();
        server_->stop();
    }

    static constexpr int slots = 20;

private:
    auto serve(const int fd, const Message &message) -> bool
    {
        const auto load = "Instance-Load: 0,0," + std::to_string(slots) + "\r\n";
        if (message.word(1) == "/health") {
            const std::lock_guard lock{mutex_};
            return sendAll(fd, answer(isLeaving_ ? 503 : 200, "Instance-Id: " + id_ + "\r\n" + load, ""));
        }
        const auto attempt = message.field("attempt-id");
        if (attempt.empty()) {
            return sendAll(fd, answer(400, "Not-Executed: 1\r\n", ""));
        }
        const auto target = message.field("target-instance");
        if (!target.empty() && target != id_) {
            return sendAll(fd, answer(421, "Instance-Id: " + id_ + "\r\nAttempt-Id: " + attempt + "\r\n", ""));
        }
        ran_(message);
        std::this_thread::sleep_for(work_);
        return sendAll(fd,
                       answer(200,
                              "Attempt-Id: " + attempt + "\r\nResponse-Seal: " + id_ + "." + attempt + "\r\n" + load,
                              "done " + attempt));
    }

    std::string id_;
    Machine machine_;
    Ran ran_;
    Milliseconds work_;
    std::int64_t born_;
    std::atomic<std::uint64_t> sequence_{};
    std::mutex mutex_;
    std::condition_variable changed_;
    bool isLeaving_{};
    std::thread reporting_;
    std::unique_ptr<Server> server_;
};

inline auto attemptId() -> std::string
{
    static std::mt19937_64 random{std::random_device{}()};
    static std::mutex mutex;
    const std::lock_guard lock{mutex};
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << random();
    return text.str();
}

/*! @brief Head of a request of tenant `club`, up to the framing fields. */
inline auto requestHead(const std::string &method,
                        const std::string &target,
                        const std::string &attempt,
                        const int deadlineMs,
                        const bool hasKey = true) -> std::string
{
    return method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + attempt + "\r\nDeadline-Ms: "
         + std::to_string(deadlineMs) + "\r\n" + (hasKey ? "Authorization: Bearer key-of-club\r\n" : "");
}

inline auto route(const std::string &name,
                  const std::string &prefix,
                  const std::string &type,
                  const std::string &service,
                  const bool isAnonymous = false) -> Json
{
    return {{"resource-kind", "routes"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"host", "shop.example"},
              {"path-prefix", prefix},
              {"route-type", type},
              {"timeout", "3000ms"},
              {"target-latency", "1500ms"},
              {"priority", 1},
              {"service", service},
              {"max-attempts", 2},
              {"allow-anonymous", isAnonymous}}}};
}

/*! @brief A config with tenant `club`, whose limit no case reaches. */
inline auto config(const int version,
                   const std::vector<Json> &routes,
                   const std::vector<std::string> &services,
                   const int maxBodyBytes = 67108864) -> std::string
{
    Json resources = routes;
    for (const auto &service : services) {
        resources.push_back(
            {{"resource-kind", "services"},
             {"metadata", {{"name", service}}},
             {"spec", {{"health-path", "/health"}, {"max-connections", 800}, {"protocol", "h1"}, {"tls", false}}}});
    }
    resources.push_back(
        {{"resource-kind", "tenants"},
         {"metadata", {{"name", "club"}}},
         {"spec", {{"api-keys", {"key-of-club"}}, {"priority", 1}, {"rate-per-s", 1000}, {"burst", 1000}}}});
    resources.push_back({{"resource-kind", "limits"},
                         {"metadata", Json::object()},
                         {"spec",
                          {{"max-header-bytes", 16384},
                           {"max-body-bytes", maxBodyBytes},
                           {"header-timeout", "3000ms"},
                           {"idle-timeout", "15000ms"}}}});
    std::ostringstream text;
    text << std::hex << std::setw(8) << std::setfill('0') << version;
    return Json{{"version", text.str()}, {"resources", resources}}.dump();
}

/*! @brief Waits until a node says that it is ready and a request with a key is served on its machine. */
inline auto waitUntilServing(const Machine &machine, const std::string &target) -> void
{
    const auto end = SteadyClock::now() + std::chrono::seconds{25};
    while (SteadyClock::now() < end) {
        const auto socket = connectTo(machine.callers(), Milliseconds{2000});
        if (socket.fd() >= 0 && sendAll(socket.fd(), requestHead("GET", target, attemptId(), 2000) + "\r\n")) {
            if (const auto reply = Reader{socket.fd()}.read(); reply && reply->status() == 200) {
                return;
            }
        }
        std::this_thread::sleep_for(Milliseconds{100});
    }
    throw CannotRun{"machine " + machine.name + " does not serve"};
}

/*! @brief Temporary folder, removed at the end. */
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(pattern.data()) == nullptr) {
            throw CannotRun{"no temporary folder"};
        }
        path_ = pattern;
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(path_, ignored);
        }
    }
    [[nodiscard]] auto path() const -> const std::filesystem::path & { return path_; }

private:
    std::filesystem::path path_;
};

/*! @brief Runs a case: true if the rule held. `TROUBLE=0` leaves the disruption out. */
inline auto
runCase(const int argc,
        char **argv,
        const std::function<bool(Record &record, const std::filesystem::path &folder, bool hasTrouble)> &play) -> int
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " FOLDER\n";
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const auto *trouble = std::getenv("TROUBLE");
    const auto hasTrouble = trouble == nullptr || std::string{trouble} != "0";
    Record record{std::filesystem::path{argv[1]} / "record.txt"};
    try {
        const TemporaryFolder folder;
        const auto held = play(record, folder.path(), hasTrouble);
        record.write(held ? "the rule held" : "the rule is broken");
        return held ? 0 : 1;
    } catch (const std::exception &failure) {
        record.write(std::string{"could not run: "} + failure.what());
        std::cerr << failure.what() << '\n';
        return 2;
    }
}

} // namespace review

#endif

// Stand-ins for the scripts of the third review: the platform's store, instances, clients, and the platform that starts
// and ends the nodes. Each connection is served by a thread; all addresses are loopback addresses.
#ifndef REVIEW_SUPPORT_3_STAGE_HH
#define REVIEW_SUPPORT_3_STAGE_HH

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const Clock::time_point started = Clock::now();

inline auto secondsNow() -> double
{
    return std::chrono::duration<double>(Clock::now() - started).count();
}

inline auto pause(const double seconds) -> void
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/*! @brief Appends lines with the time since the start to the record of the run. */
class Record
{
public:
    auto open(const std::string &path) -> void { file_.open(path, std::ios::trunc); }

    auto line(const std::string &text) -> void
    {
        const std::lock_guard lock{mutex_};
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", secondsNow());
        file_ << time << text << '\n';
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline Record record;

inline auto note(const std::string &text) -> void
{
    record.line(text);
}

struct Address {
    std::string ip;
    std::uint16_t port{};

    [[nodiscard]] auto text() const -> std::string { return ip + ":" + std::to_string(port); }
};

inline auto toSocketAddress(const Address &address) -> sockaddr_in
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

inline auto listenOn(const Address &address) -> int
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    const auto to = toSocketAddress(address);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0 || listen(fd, 1024) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/*! @brief Opens a connection; returns -1 on failure. */
inline auto dial(const Address &address, const double timeout = 1.0, const std::string &from = {}) -> int
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) {
        return -1;
    }
    if (!from.empty()) {
        const auto own = toSocketAddress({from, 0});
        bind(fd, reinterpret_cast<const sockaddr *>(&own), sizeof own);
    }
    const auto to = toSocketAddress(address);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    pollfd ready{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&ready, 1, static_cast<int>(timeout * 1000)) != 1
        || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        close(fd);
        return -1;
    }
    const int yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

inline auto sendAll(const int fd, const std::string_view bytes) -> bool
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

struct Message {
    std::string start; /*!< Request line or status line. */
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] auto find(const std::string &name) const -> std::string
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    [[nodiscard]] auto has(const std::string &name) const -> bool
    {
        return std::any_of(fields.begin(), fields.end(), [&](const auto &field) {
            return strcasecmp(field.first.c_str(), name.c_str()) == 0;
        });
    }

    [[nodiscard]] auto word(const int index) const -> std::string
    {
        std::istringstream words{start};
        std::string found;
        for (int i = 0; i <= index; ++i) {
            found.clear();
            words >> found;
        }
        return found;
    }

    [[nodiscard]] auto status() const -> int { return std::atoi(word(1).c_str()); }
};

/*! @brief Receives more bytes; returns false at the end, on an error and at the deadline. */
inline auto receiveMore(const int fd, std::string &buffer, const Clock::time_point until) -> bool
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    pollfd ready{fd, POLLIN, 0};
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) != 1) {
        return false;
    }
    char bytes[65536];
    const auto count = recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

/*! @brief Reads a message with a length or without a body; returns nothing if it is not complete in time. */
inline auto readMessage(const int fd, std::string &buffer, const double timeout) -> std::optional<Message>
{
    const auto until =
        Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(timeout));
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveMore(fd, buffer, until)) {
            return std::nullopt;
        }
    }
    Message message;
    std::istringstream head{buffer.substr(0, end)};
    std::string line;
    std::getline(head, message.start);
    if (!message.start.empty() && message.start.back() == '\r') {
        message.start.pop_back();
    }
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }
    const auto length = static_cast<std::size_t>(std::atoll(message.find("Content-Length").c_str()));
    while (buffer.size() < end + 4 + length) {
        if (!receiveMore(fd, buffer, until)) {
            return std::nullopt;
        }
    }
    message.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return message;
}

/*! @brief Server with a thread for each connection. The handler owns the connection and returns when it is done. */
class Server
{
public:
    using Handler = std::function<void(int fd)>;

    auto open(const Address &address, Handler handler) -> bool
    {
        fd_ = listenOn(address);
        if (fd_ < 0) {
            return false;
        }
        std::thread{[fd = fd_, handler = std::move(handler)] {
            for (;;) {
                const int connection = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0) {
                    return;
                }
                const int yes = 1;
                setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
                std::thread{[connection, handler] {
                    handler(connection);
                    ::close(connection);
                }}.detach();
            }
        }}.detach();
        return true;
    }

    auto close() -> void
    {
        if (fd_ >= 0) {
            shutdown(fd_, SHUT_RDWR);
            ::close(std::exchange(fd_, -1));
        }
    }

private:
    int fd_{-1};
};

inline auto answerText(const int status, const std::string &fields, const std::string &body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields
         + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline auto encodeBase64(const std::string &bytes) -> std::string
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    std::size_t i = 0;
    for (; i + 2 < bytes.size(); i += 3) {
        const auto n = (static_cast<unsigned char>(bytes[i]) << 16) | (static_cast<unsigned char>(bytes[i + 1]) << 8)
                     | static_cast<unsigned char>(bytes[i + 2]);
        text += {digits[n >> 18], digits[(n >> 12) & 63], digits[(n >> 6) & 63], digits[n & 63]};
    }
    if (i + 1 == bytes.size()) {
        const auto n = static_cast<unsigned char>(bytes[i]) << 16;
        text += {digits[n >> 18], digits[(n >> 12) & 63], '=', '='};
    } else if (i + 2 == bytes.size()) {
        const auto n = (static_cast<unsigned char>(bytes[i]) << 16) | (static_cast<unsigned char>(bytes[i + 1]) << 8);
        text += {digits[n >> 18], digits[(n >> 12) & 63], digits[(n >> 6) & 63], '='};
    }
    return text;
}

/*! @brief The platform's store: items, watches, transactions, leases and a history of 20 s. Reads are never stale. */
class Store
{
public:
    /*! @brief Listens on an address; each machine has one of its own, so that the store can turn single ones away. */
    auto open(const Address &address) -> bool
    {
        if (servers_.empty()) {
            std::thread{[this] {
                expire();
            }}.detach();
        }
        return servers_.emplace_back().open(address, [this, ip = address.ip](const int fd) { serve(fd, ip); });
    }

    /*! @brief Writes an item as the operator does; returns when it is acknowledged. */
    auto put(const std::string &key, const std::string &value) -> void
    {
        const std::lock_guard lock{mutex_};
        write(key, encodeBase64(value), 0);
        changed_.notify_all();
    }

    /*! @brief Makes the store answer 503 at one of its addresses, or ends that. */
    auto setRefused(const Address &address, const bool isRefused) -> void
    {
        const std::lock_guard lock{mutex_};
        refused_[address.ip] = isRefused;
        changed_.notify_all();
    }

private:
    struct Lease {
        double seconds{};
        Clock::time_point ends;
    };

    auto write(const std::string &key, const std::string &base64, const std::uint64_t lease) -> void
    {
        ++revision_;
        const auto known = items_.find(key);
        const auto created = known == items_.end() ? Json(revision_) : known->second.at("create-revision");
        items_[key] = {
            {"key", key}, {"value", base64}, {"revision", revision_}, {"create-revision", created}, {"lease", lease}};
        log(items_[key]);
    }

    auto erase(const std::string &key) -> void
    {
        if (items_.erase(key) > 0) {
            ++revision_;
            log({{"key", key}, {"revision", revision_}, {"removed", true}});
        }
    }

    /*! @brief Adds an event to the history. */
    auto log(Json event) -> void { events_.push_back({Clock::now(), std::move(event)}); }

    /*! @brief Forgets events that are older than `history` and ends leases. */
    auto expire() -> void
    {
        for (;;) {
            pause(0.05);
            const std::lock_guard lock{mutex_};
            while (!events_.empty() && Clock::now() - events_.front().first > history) {
                forgotten_ = events_.front().second.at("revision").get<std::uint64_t>();
                events_.pop_front();
            }
            for (auto lease = leases_.begin(); lease != leases_.end();) {
                if (lease->second.ends > Clock::now()) {
                    ++lease;
                    continue;
                }
                std::vector<std::string> keys;
                for (const auto &[key, item] : items_) {
                    if (item.at("lease") == lease->first) {
                        keys.push_back(key);
                    }
                }
                for (const auto &key : keys) {
                    erase(key);
                }
                lease = leases_.erase(lease);
                changed_.notify_all();
            }
        }
    }

    static auto decode(const std::string &text) -> std::string
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                result.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
                i += 2;
            } else {
                result.push_back(text[i]);
            }
        }
        return result;
    }

    static auto query(const std::string &target, const std::string &name) -> std::string
    {
        auto at = target.find('?');
        while (at != std::string::npos && at + 1 < target.size()) {
            const auto next = target.find('&', at + 1);
            const auto part = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
            if (part.starts_with(name + "=")) {
                return decode(part.substr(name.size() + 1));
            }
            at = next;
        }
        return {};
    }

    auto serve(const int fd, const std::string &ip) -> void
    {
        std::string buffer;
        while (const auto call = readMessage(fd, buffer, 600)) {
            auto [status, body] = handle(*call, ip);
            if (!sendAll(fd, answerText(status, "Content-Type: application/json\r\n", body.dump()))) {
                return;
            }
        }
    }

    auto handle(const Message &call, const std::string &ip) -> std::pair<int, Json>
    {
        std::unique_lock lock{mutex_};
        const auto target = call.word(1);
        const auto path = target.substr(0, target.find('?'));
        if (refused_[ip]) {
            return {503, Json::object()};
        }
        if (path == "/v1/kv-range") {
            const auto prefix = query(target, "path-prefix");
            const auto after = query(target, "after");
            Json items = Json::array();
            std::size_t bytes = 0;
            auto hasMore = false;
            for (auto item = items_.lower_bound(prefix); item != items_.end() && item->first.starts_with(prefix);
                 ++item) {
                if (!after.empty() && item->first <= after) {
                    continue;
                }
                if (items.size() >= 500 || bytes > 1'000'000) {
                    hasMore = true;
                    break;
                }
                items.push_back(item->second);
                bytes += item->second.at("value").get_ref<const std::string &>().size();
            }
            return {200, {{"items", items}, {"has-more", hasMore}, {"current-rev", revision_}}};
        }
        if (path == "/v1/kv-key") {
            const auto item = items_.find(query(target, "key"));
            if (item == items_.end()) {
                return {404, {{"current-rev", revision_}}};
            }
            auto found = item->second;
            found["current-rev"] = revision_;
            return {200, found};
        }
        if (path == "/v1/kv-watch") {
            const auto prefix = query(target, "path-prefix");
            const auto after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
            const auto until = Clock::now() + std::chrono::milliseconds{std::atol(query(target, "wait-ms").c_str())};
            for (;;) {
                if (after < forgotten_) {
                    return {410, Json::object()};
                }
                Json events = Json::array();
                for (const auto &[at, event] : events_) {
                    if (event.at("revision") > after
                        && event.at("key").get_ref<const std::string &>().starts_with(prefix)) {
                        events.push_back(event);
                    }
                }
                if (refused_[ip]) {
                    return {503, Json::object()};
                }
                if (!events.empty() || Clock::now() >= until) {
                    return {200, {{"events", events}, {"current-rev", revision_}}};
                }
                changed_.wait_until(lock, until);
            }
        }
        if (path == "/v1/kv-txn") {
            return transact(Json::parse(call.body));
        }
        if (path == "/v1/kv-lease") {
            const auto text = Json::parse(call.body).at("ttl_time").get<std::string>();
            const auto seconds = std::atof(text.c_str()) / (text.ends_with("ms") ? 1000.0 : 1.0);
            leases_[++lastLease_] = {seconds, endOf(seconds)};
            return {200, {{"lease", lastLease_}, {"ttl_time", text}}};
        }
        const auto id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = leases_.find(id);
        if (lease == leases_.end()) {
            return {404, Json::object()};
        }
        lease->second.ends = path.starts_with("/v1/kv-keep") ? endOf(lease->second.seconds) : Clock::now();
        return {200, {{"ttl_time", std::to_string(static_cast<int>(lease->second.seconds * 1000)) + "ms"}}};
    }

    static auto endOf(const double seconds) -> Clock::time_point
    {
        return Clock::now() + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    }

    auto transact(const Json &body) -> std::pair<int, Json>
    {
        Json present = Json::array();
        auto isExpected = true;
        for (const auto &row : body.at("expected-revision")) {
            const auto item = items_.find(row.at("key").get<std::string>());
            isExpected =
                isExpected && (item == items_.end() ? Json(0) : item->second.at("revision")) == row.at("revision");
            if (item != items_.end()) {
                present.push_back(item->second);
            }
        }
        if (!isExpected) {
            return {412, {{"items", present}}};
        }
        for (const auto &put : body.at("puts")) {
            const auto lease = put.value("lease", std::uint64_t{0});
            if (lease != 0 && !leases_.contains(lease)) {
                return {404, Json::object()};
            }
        }
        for (const auto &put : body.at("puts")) {
            write(put.at("key").get<std::string>(),
                  put.at("value").get<std::string>(),
                  put.value("lease", std::uint64_t{0}));
        }
        for (const auto &key : body.at("deletes")) {
            erase(key.get<std::string>());
        }
        changed_.notify_all();
        return {200, {{"revision", revision_}}};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Json> items_;
    static constexpr std::chrono::seconds history{20};

    std::deque<std::pair<Clock::time_point, Json>> events_;
    std::uint64_t forgotten_{}; /*!< Newest revision that is no longer in the history. */
    std::map<std::uint64_t, Lease> leases_;
    std::map<std::string, bool> refused_;
    std::uint64_t revision_{100};
    std::uint64_t lastLease_{7000};
    std::deque<Server> servers_;
};

/*! @brief Request line, fields and body of a client's request. */
inline auto requestText(const std::string &method,
                        const std::string &target,
                        const std::string &host,
                        const std::string &id,
                        const std::string &key,
                        const int deadlineMs,
                        const std::string &body = {}) -> std::string
{
    auto text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id
              + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (!key.empty()) {
        text += "Authorization: Bearer " + key + "\r\n";
    }
    if (!body.empty() || method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

inline auto randomId() -> std::string
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock{mutex};
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

/*! @brief Sends a request on a new connection and returns its answer, or nothing. */
inline auto ask(const Address &to, const std::string &text, const double timeout) -> std::optional<Message>
{
    const int fd = dial(to);
    if (fd < 0) {
        return std::nullopt;
    }
    std::string buffer;
    auto answer = sendAll(fd, text) ? readMessage(fd, buffer, timeout) : std::nullopt;
    close(fd);
    return answer;
}

/*! @brief Nodes that run, for `endAll`. */
inline std::array<std::atomic<pid_t>, 64> children{};
inline std::atomic<std::size_t> nextChild{};

inline auto forget(const pid_t node) -> void
{
    for (auto &child : children) {
        auto expected = node;
        child.compare_exchange_strong(expected, 0);
    }
}

/*! @brief Signal handler: ends all nodes and the run, which then does not count. */
inline auto endAll(int) -> void
{
    for (const auto &child : children) {
        if (child > 0) {
            kill(child, SIGKILL);
        }
    }
    _exit(2);
}

/*! @brief Ends the run when it is asked to, and after 115 seconds in any case. */
inline auto guardRun() -> void
{
    for (const auto number : {SIGALRM, SIGTERM, SIGINT, SIGHUP}) {
        signal(number, endAll);
    }
    alarm(115);
}

/*! @brief A machine: a node and the instance beside it, with the ports of the settings page. */
struct Machine {
    std::string name;
    std::string zone;
    std::string service;
    std::string ip;
    Address store;
    std::uint16_t port{}; /*!< First of the machine's ports. */
    int memoryMb{260};
    int maxFds{4100};
    std::string folder; /*!< For the settings and the log. */
    pid_t node{};
    int starts{};

    [[nodiscard]] auto at(const int offset) const -> Address { return {ip, static_cast<std::uint16_t>(port + offset)}; }
    [[nodiscard]] auto outbound() const -> Address { return at(0); }
    [[nodiscard]] auto ready() const -> Address { return at(1); }
    [[nodiscard]] auto control() const -> Address { return at(2); }
    [[nodiscard]] auto app() const -> Address { return at(3); }

    /*! @brief Renders the template of the deploy file and starts the node with the command of the deploy file. */
    auto startNode() -> void
    {
        std::ifstream source{"deploy/node.json.template"};
        std::string text{std::istreambuf_iterator<char>{source}, {}};
        const std::map<std::string, std::string> values{{"node-name", name},
                                                        {"zone", zone},
                                                        {"service", service},
                                                        {"app-addr", app().text()},
                                                        {"platform.address", store.text()},
                                                        {"listen-addrs.outbound", outbound().text()},
                                                        {"listen-addrs.ready", ready().text()},
                                                        {"listen-addrs.control", control().text()},
                                                        {"ip", ip},
                                                        {"internal-ports.0", "7000"},
                                                        {"bounds.grace", "6s"},
                                                        {"bounds.revoke", "5000ms"},
                                                        {"bounds.retry-budget-ratio", "0.2"},
                                                        {"bounds.budget-slack", "47"},
                                                        {"bounds.budget-window", "10s"},
                                                        {"bounds.quota-over", "0.1"},
                                                        {"bounds.quota-window", "5s"},
                                                        {"bounds.quota-slack", "20"},
                                                        {"limits.memory-mb", std::to_string(memoryMb)}};
        for (const auto &[key, value] : values) {
            const auto placeholder = "{{" + key + "}}";
            for (std::size_t at; (at = text.find(placeholder)) != std::string::npos;) {
                text.replace(at, placeholder.size(), value);
            }
        }
        const auto settings = folder + "/" + name + ".json";
        std::ofstream{settings} << text;
        const auto log = folder + "/" + name + ".log";
        // The child gets nothing else of the caller's environment, as on the platform.
        std::vector<std::string> variables{
            "JASMINELATCH_CONFIG=" + settings, "JASMINELATCH_COLD_OVER=", "JASMINELATCH_COLD_SLACK="};
        for (const auto *inherited : {"PATH", "HOME", "LANG"}) {
            if (const char *value = std::getenv(inherited)) {
                variables.push_back(std::string{inherited} + "=" + value);
            }
        }
        std::vector<char *> environment;
        for (auto &variable : variables) {
            environment.push_back(variable.data());
        }
        environment.push_back(nullptr);
        const auto slot = nextChild++ % children.size();
        node = fork();
        if (node == 0) {
            const rlimit files{static_cast<rlim_t>(maxFds), static_cast<rlim_t>(maxFds)};
            setrlimit(RLIMIT_NOFILE, &files);
            const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execle("target/src/jasminelatch-sidecar", "jasminelatch-sidecar", nullptr, environment.data());
            _exit(127);
        }
        children[slot] = node;
        ++starts;
        note("node " + name + " started");
    }

    auto signalNode(const int number) const -> void
    {
        if (node > 0) {
            kill(node, number);
        }
    }

    /*! @brief Kills the node and reaps it. */
    auto killNode() -> void
    {
        if (node > 0) {
            kill(node, SIGKILL);
            waitpid(node, nullptr, 0);
            forget(std::exchange(node, 0));
        }
    }

    /*! @brief Returns the exit status if the node has ended by itself, and reaps it. */
    auto hasEnded() -> std::optional<int>
    {
        int status = 0;
        if (node > 0 && waitpid(node, &status, WNOHANG) == node) {
            forget(std::exchange(node, 0));
            return status;
        }
        return std::nullopt;
    }

    /*! @brief Returns the resident memory of the node in bytes. */
    [[nodiscard]] auto residentBytes() const -> std::size_t
    {
        std::ifstream file{"/proc/" + std::to_string(node) + "/statm"};
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    }

    [[nodiscard]] auto isReady() const -> bool
    {
        const auto answer = ask(ready(), "GET /v1/ready HTTP/1.1\r\nHost: " + ready().text() + "\r\n\r\n", 1.0);
        return answer && answer->status() == 200;
    }

    [[nodiscard]] auto waitReady(const double timeout) const -> bool
    {
        const auto end = secondsNow() + timeout;
        while (secondsNow() < end) {
            if (isReady()) {
                return true;
            }
            pause(0.05);
        }
        return false;
    }
};

/*! @brief An instance: serves requests and its health path, and sends heartbeats to the node beside it. */
class Instance
{
public:
    /*! @brief Answers a request on a connection; returns false to close the connection. */
    using Work = std::function<bool(int fd, const Message &request)>;

    Instance(Machine &machine, std::string id, Work work)
        : machine_{&machine}
        , id_{std::move(id)}
        , work_{std::move(work)}
        , born_{
              std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count()}
    {
    }

    auto open() -> bool
    {
        if (!server_.open(machine_->app(), [this](const int fd) { serve(fd); })) {
            return false;
        }
        std::thread{[this] {
            for (;;) {
                beat();
                pause(1.5);
            }
        }}.detach();
        return true;
    }

    [[nodiscard]] auto id() const -> const std::string & { return id_; }

    /*! @brief Fields that every answer of the instance has. */
    [[nodiscard]] auto fields(const Message &request) const -> std::string
    {
        std::string text = "Instance-Id: " + id_ + "\r\nInstance-Load: 0,0," + std::to_string(slots)
                         + "\r\nKeep-Alive: timeout=10\r\n";
        const auto attempt = request.find("Attempt-Id");
        return attempt.empty() ? text : text + "Attempt-Id: " + attempt + "\r\n";
    }

    int slots{100}; /*!< Number of requests that it runs at once, as it reports. */

    /*! @brief A success with a seal. */
    [[nodiscard]] auto success(const Message &request, const std::string &body) const -> std::string
    {
        return answerText(
            200, fields(request) + "Response-Seal: " + std::to_string(body.size()) + "." + id_ + "\r\n", body);
    }

private:
    auto beat() -> void
    {
        const Json body{{"service", machine_->service},
                        {"address", machine_->app().text()},
                        {"zone", machine_->zone},
                        {"version", "v1"},
                        {"slots", slots},
                        {"state", "ready"},
                        {"cold-left", "0ms"},
                        {"sequence", ++sequence_},
                        {"born", born_}};
        const auto text = body.dump();
        static_cast<void>(ask(machine_->control(),
                              "POST /v1/Instances.Heartbeat/" + id_ + " HTTP/1.1\r\nHost: " + machine_->control().text()
                                  + "\r\nContent-Type: application/json\r\nContent-Length: "
                                  + std::to_string(text.size()) + "\r\n\r\n" + text,
                              1.0));
    }

    auto serve(const int fd) -> void
    {
        std::string buffer;
        while (const auto request = readMessage(fd, buffer, 10)) {
            if (request->word(1) == "/health") {
                if (!sendAll(fd, answerText(200, fields(*request), ""))) {
                    return;
                }
            } else if (!work_(fd, *request)) {
                return;
            }
        }
    }

    Machine *machine_;
    std::string id_;
    Work work_;
    std::int64_t born_;
    std::atomic<std::uint64_t> sequence_{};
    Server server_;
};

/*! @brief Folder of the run that is removed at the end, and addresses that nobody else uses. */
struct Place {
    std::string folder;
    std::string network; /*!< First three numbers of the machines' addresses. */
    std::uint16_t port{};

    Place()
    {
        char name[] = "/tmp/review-3-XXXXXX";
        folder = mkdtemp(name);
        std::random_device random;
        for (;;) {
            network = "127." + std::to_string(10 + random() % 200) + "." + std::to_string(random() % 250);
            port = static_cast<std::uint16_t>(20000 + random() % 10000);
            const int fd = listenOn({network + ".1", port});
            if (fd >= 0) {
                close(fd);
                return;
            }
        }
    }

    ~Place()
    {
        if (std::getenv("KEEP") == nullptr) {
            for (const auto &file : files) {
                unlink(file.c_str());
            }
            rmdir(folder.c_str());
        }
    }

    std::vector<std::string> files;

    auto machine(const int index, const std::string &zone, const std::string &service) -> Machine
    {
        Machine machine;
        machine.name = "sidecar-" + zone + "-" + std::to_string(index);
        machine.zone = zone;
        machine.service = service;
        machine.ip = network + "." + std::to_string(10 + index);
        machine.store = {network + "." + std::to_string(100 + index), port};
        machine.port = port;
        machine.folder = folder;
        files.push_back(folder + "/" + machine.name + ".json");
        files.push_back(folder + "/" + machine.name + ".log");
        return machine;
    }
};

inline auto hasTrouble() -> bool
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string{text} != "0";
}

} // namespace stage

#endif

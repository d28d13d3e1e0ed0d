#ifndef JASMINELATCH_REVIEW_STAND_IN_H
#define JASMINELATCH_REVIEW_STAND_IN_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/*! @brief Stand-ins for the platform, the instances and the clients, with blocking sockets and one thread a connection.
 */
namespace review {

using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;
using Json = nlohmann::json;

inline auto startTime() -> Steady::time_point
{
    static const auto start = Steady::now();
    return start;
}

/*! @brief Seconds since the start of the case. */
inline auto seconds() -> double
{
    return std::chrono::duration<double>(Steady::now() - startTime()).count();
}

inline auto sleepFor(const double time) -> void
{
    std::this_thread::sleep_for(std::chrono::duration<double>(time));
}

/*! @brief Writes `record.txt`. */
class Record
{
public:
    explicit Record(const std::string &file)
        : file_{file}
    {
        startTime();
    }

    auto write(const std::string &line) -> void
    {
        const std::lock_guard lock{mutex_};
        std::array<char, 32> time{};
        std::snprintf(time.data(), time.size(), "%8.3f s  ", seconds());
        file_ << time.data() << line << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

using Fields = std::vector<std::pair<std::string, std::string>>;

/*! @brief HTTP message; a request or an answer. */
struct Message {
    std::string first; /*!< First line. */
    Fields fields;
    std::string body;

    [[nodiscard]] auto find(const std::string &name) const -> std::optional<std::string>
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] auto word(const std::size_t index) const -> std::string
    {
        std::istringstream text{first};
        std::string word;
        for (std::size_t i = 0; i <= index; ++i) {
            word.clear();
            text >> word;
        }
        return word;
    }

    [[nodiscard]] auto status() const -> int { return std::atoi(word(1).c_str()); }
};

/*! @brief Connected socket, closed by the destructor. */
class Socket
{
public:
    Socket() = default;
    explicit Socket(const int fd)
        : fd_{fd}
    {
    }
    Socket(const Socket &) = delete;
    auto operator=(const Socket &) -> Socket & = delete;
    Socket(Socket &&other) noexcept
        : fd_{std::exchange(other.fd_, -1)}
        , input_{std::move(other.input_)}
    {
    }
    auto operator=(Socket &&other) noexcept -> Socket &
    {
        close();
        fd_ = std::exchange(other.fd_, -1);
        input_ = std::move(other.input_);
        return *this;
    }
    ~Socket() { close(); }

    auto close() -> void
    {
        if (fd_ >= 0) {
            ::close(std::exchange(fd_, -1));
        }
        input_.clear();
    }

    /*! @brief Closes with a reset. */
    auto reset() -> void
    {
        const linger now{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }

    /*! @brief Bytes that were received and belong to no message yet. */
    [[nodiscard]] auto received() const -> std::size_t { return input_.size(); }
    [[nodiscard]] auto isOpen() const -> bool { return fd_ >= 0; }
    [[nodiscard]] auto fd() const -> int { return fd_; }

    [[nodiscard]] auto
    connect(const std::string &ip, const int port, const double timeout = 1.0, const int receiveBuffer = 0) -> bool
    {
        close();
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBuffer > 0) {
            setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        }
        fcntl(fd_, F_SETFL, O_NONBLOCK);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        auto failed = ::connect(fd_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0;
        if (failed && errno == EINPROGRESS && wait(POLLOUT, timeout)) {
            int error{};
            socklen_t size = sizeof(error);
            getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
            failed = error != 0;
        }
        const int on = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (failed) {
            close();
        }
        return !failed;
    }

    [[nodiscard]] auto wait(const short events, const double timeout) const -> bool
    {
        pollfd entry{fd_, events, 0};
        return ::poll(&entry, 1, static_cast<int>(std::max(timeout, 0.0) * 1000.0)) > 0;
    }

    [[nodiscard]] auto send(const std::string &bytes, const double timeout = 30.0) -> bool
    {
        const auto end = seconds() + timeout;
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            if (!wait(POLLOUT, end - seconds())) {
                return false;
            }
            const auto count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count < 0 && errno != EAGAIN && errno != EINTR) {
                return false;
            }
            sent += count > 0 ? static_cast<std::size_t>(count) : 0;
        }
        return true;
    }

    enum class Read { Message, Closed, Timeout };

    /*! @brief Reads a message that has a length. `pace` is called before each read of the body. */
    [[nodiscard]] auto read(Message &message, const double timeout, const std::function<void()> &pace = {}) -> Read
    {
        const auto end = seconds() + timeout;
        std::size_t head{};
        while ((head = input_.find("\r\n\r\n")) == std::string::npos) {
            if (const auto result = more(end, 16384); result != Read::Message) {
                return result;
            }
        }
        message = {};
        std::istringstream lines{input_.substr(0, head)};
        std::string line;
        std::getline(lines, line);
        message.first = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            line = line.substr(0, line.find('\r'));
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon),
                                        value == std::string::npos ? std::string{} : line.substr(value));
        }
        const auto length = static_cast<std::size_t>(std::atoll(message.find("Content-Length").value_or("0").c_str()));
        input_.erase(0, head + 4);
        while (input_.size() < length) {
            if (pace) {
                pace();
            }
            if (const auto result = more(end, 65536); result != Read::Message) {
                return result;
            }
        }
        message.body = input_.substr(0, length);
        input_.erase(0, length);
        return Read::Message;
    }

private:
    auto more(const double end, const std::size_t most) -> Read
    {
        if (!wait(POLLIN, end - seconds())) {
            return Read::Timeout;
        }
        std::vector<char> buffer(most);
        const auto count = ::recv(fd_, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            return count < 0 && errno == EAGAIN ? Read::Message : Read::Closed;
        }
        input_.append(buffer.data(), static_cast<std::size_t>(count));
        return Read::Message;
    }

    int fd_{-1};
    std::string input_;
};

inline auto text(const std::string &first, const Fields &fields, const std::string &body, const bool hasLength = true)
    -> std::string
{
    auto text = first + "\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    if (hasLength) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/*! @brief Accepts connections and serves each in its own thread until the process ends. */
class Listener
{
public:
    using Serve = std::function<void(std::shared_ptr<Socket> socket)>;

    Listener(std::string ip, const int port, Serve serve, const int receiveBuffer = 0)
        : ip_{std::move(ip)}
        , port_{port}
        , receiveBuffer_{receiveBuffer}
        , serve_{std::move(serve)}
    {
        open();
    }

    auto open() -> void
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        if (receiveBuffer_ > 0) {
            setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receiveBuffer_, sizeof(receiveBuffer_));
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port_));
        inet_pton(AF_INET, ip_.c_str(), &address.sin_addr);
        if (::bind(fd_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(fd_, 1024) != 0) {
            throw std::runtime_error{"cannot listen on " + ip_ + ":" + std::to_string(port_)};
        }
        std::thread{[this, fd = fd_] {
            while (true) {
                const auto accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    ::close(fd);
                    return;
                }
                const int noDelay = 1;
                setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
                std::thread{[this, socket = std::make_shared<Socket>(accepted)] {
                    serve_(socket);
                }}.detach();
            }
        }}.detach();
    }

    /*! @brief Refuses connections from now on. */
    auto close() const -> void { ::shutdown(fd_, SHUT_RDWR); }

private:
    std::string ip_;
    int port_;
    int receiveBuffer_;
    int fd_{-1};
    Serve serve_;
};

inline auto base64(const std::string &bytes) -> std::string
{
    constexpr const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j <= bytes.size() ? digits[group >> (18U - 6U * j) & 63U] : '=';
        }
    }
    return out;
}

/*! @brief The platform's store: items, watches and leases. */
class Store
{
public:
    Store(const std::string &ip, const int port)
        : listener_{ip, port, [this](const std::shared_ptr<Socket> &socket) {
                        serve(*socket);
                    }}
    {
    }

    auto put(const std::string &key, const std::string &value) -> void
    {
        const std::lock_guard lock{mutex_};
        write(key, base64(value), 0);
        changed_.notify_all();
    }

    /*! @brief Keeps a copy that `restore` goes back to. */
    auto keepCopy() -> void
    {
        const std::lock_guard lock{mutex_};
        copy_ = Copy{items_, leases_, revision_, lastLease_};
    }

    /*! @brief Comes back from the copy; revisions and leases are given out again. */
    auto restore() -> void
    {
        const std::lock_guard lock{mutex_};
        items_ = copy_.items;
        leases_ = copy_.leases;
        revision_ = copy_.revision;
        lastLease_ = copy_.lastLease;
        events_.clear();
        historyStart_ = revision_;
        ++era_;
        changed_.notify_all();
    }

    std::atomic<bool> isDown{};

private:
    struct Lease {
        double time{};
        double end{};
    };
    struct Copy {
        std::map<std::string, Json> items;
        std::map<std::uint64_t, Lease> leases;
        std::uint64_t revision{};
        std::uint64_t lastLease{};
    };

    auto write(const std::string &key, const std::string &value, const std::uint64_t lease) -> void
    {
        const auto found = items_.find(key);
        ++revision_;
        const auto created = found == items_.end() ? Json(revision_) : found->second.at("create-revision");
        items_[key] = {
            {"key", key}, {"value", value}, {"revision", revision_}, {"create-revision", created}, {"lease", lease}};
        events_.push_back(items_[key]);
    }

    auto remove(const std::string &key) -> void
    {
        if (items_.erase(key) > 0) {
            events_.push_back({{"key", key}, {"revision", ++revision_}, {"removed", true}});
        }
    }

    auto expire() -> void
    {
        for (auto lease = leases_.begin(); lease != leases_.end();) {
            if (lease->second.end > seconds()) {
                ++lease;
                continue;
            }
            std::vector<std::string> keys;
            for (const auto &[key, item] : items_) {
                if (item.at("lease").get<std::uint64_t>() == lease->first) {
                    keys.push_back(key);
                }
            }
            std::ranges::for_each(keys, [this](const auto &key) { remove(key); });
            lease = leases_.erase(lease);
        }
    }

    static auto query(const std::string &target, const std::string &name) -> std::string
    {
        auto at = target.find("?" + name + "=");
        at = at == std::string::npos ? target.find("&" + name + "=") : at;
        if (at == std::string::npos) {
            return {};
        }
        at += name.size() + 2;
        return target.substr(at, target.find('&', at) - at);
    }

    auto serve(Socket &socket) -> void
    {
        Message request;
        while (socket.read(request, 120.0) == Socket::Read::Message) {
            sleepFor(0.004);
            auto [status, body] = answer(request);
            Fields fields{{"Content-Type", "application/json"}};
            {
                const std::lock_guard lock{mutex_};
                fields.emplace_back("Store-Era", std::to_string(era_));
            }
            if (!socket.send(text("HTTP/1.1 " + std::to_string(status) + " X", fields, body.dump()))) {
                return;
            }
        }
    }

    auto answer(const Message &request) -> std::pair<int, Json>
    {
        if (isDown) {
            return {503, Json::object()};
        }
        const auto target = request.word(1);
        std::unique_lock lock{mutex_};
        expire();
        if (target.starts_with("/v1/kv-range")) {
            const auto prefix = query(target, "path-prefix");
            Json items = Json::array();
            for (const auto &[key, item] : items_) {
                if (key.starts_with(prefix) && key > query(target, "after")) {
                    items.push_back(item);
                }
            }
            return {200, {{"items", items}, {"has-more", false}, {"current-rev", revision_}}};
        }
        if (target.starts_with("/v1/kv-watch")) {
            const auto era = era_;
            const auto after = std::stoull(query(target, "after"));
            const auto prefix = query(target, "path-prefix");
            if (after < historyStart_ || after > revision_) {
                return {410, Json::object()};
            }
            const auto end = seconds() + std::stod(query(target, "wait-ms")) / 1000.0;
            Json events = Json::array();
            while (true) {
                if (era != era_ || isDown) {
                    return {503, Json::object()};
                }
                for (const auto &event : events_) {
                    if (event.at("revision").get<std::uint64_t>() > after
                        && event.at("key").get<std::string>().starts_with(prefix)) {
                        events.push_back(event);
                    }
                }
                if (!events.empty() || seconds() >= end) {
                    return {200, {{"events", events}, {"current-rev", revision_}}};
                }
                changed_.wait_for(lock, std::chrono::duration<double>(std::min(end - seconds(), 0.05)));
            }
        }
        if (target == "/v1/kv-txn") {
            return transact(Json::parse(request.body));
        }
        if (target == "/v1/kv-lease") {
            const auto time = Json::parse(request.body).at("ttl_time").get<std::string>();
            const auto length = std::stod(time) * (time.ends_with("ms") ? 0.001 : 1.0);
            leases_[++lastLease_] = {length, seconds() + length};
            return {200, {{"lease", lastLease_}, {"ttl_time", time}}};
        }
        if (target.starts_with("/v1/kv-keep/")) {
            const auto found = leases_.find(std::stoull(target.substr(12)));
            if (found == leases_.end()) {
                return {404, Json::object()};
            }
            found->second.end = seconds() + found->second.time;
            return {200, {{"ttl_time", std::to_string(static_cast<int>(found->second.time * 1000)) + "ms"}}};
        }
        return {404, Json::object()};
    }

    auto transact(const Json &body) -> std::pair<int, Json>
    {
        auto holds = true;
        Json items = Json::array();
        for (const auto &expected : body.at("expected-revision")) {
            const auto found = items_.find(expected.at("key").get<std::string>());
            const auto revision = found == items_.end() ? 0 : found->second.at("revision").get<std::uint64_t>();
            holds = holds && revision == expected.at("revision").get<std::uint64_t>();
            if (found != items_.end()) {
                items.push_back(found->second);
            }
        }
        if (!holds) {
            return {412, {{"items", items}}};
        }
        for (const auto &item : body.at("puts")) {
            const auto lease = item.value("lease", std::uint64_t{});
            if (lease != 0 && !leases_.contains(lease)) {
                return {404, Json::object()};
            }
            write(item.at("key").get<std::string>(), item.at("value").get<std::string>(), lease);
        }
        for (const auto &key : body.at("deletes")) {
            remove(key.get<std::string>());
        }
        changed_.notify_all();
        return {200, {{"revision", revision_}}};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Json> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::vector<Json> events_;
    std::uint64_t revision_{10};
    std::uint64_t historyStart_{};
    std::uint64_t lastLease_{100};
    std::uint64_t era_{1};
    Copy copy_;
    Listener listener_;
};

/*! @brief Request that an instance has begun to run. */
struct Run {
    double at{};
    std::string attempt;
    std::string instance;
    std::string tenant;
    Message request;
};

/*! @brief Application instance beside a node, which is also the platform's part that sends its status reports. */
class Instance
{
public:
    struct Plan {
        std::string id;
        std::string service;
        std::string ip;
        int port{8547};
        std::string control; /*!< Address of the node's control interface. */
        int controlPort{8540};
        std::size_t slots{72};
        std::size_t queue{144}; /*!< Requests that wait for a slot; more are rejected. */
        int receiveBuffer{};
    };

    Instance(Record &record, Plan plan)
        : record_{record}
        , plan_{std::move(plan)}
        , born_{now()}
        , listener_{plan_.ip,
                    plan_.port,
                    [this](const std::shared_ptr<Socket> &socket) {
                        {
                            const std::lock_guard lock{mutex_};
                            sockets_.push_back(socket);
                        }
                        serve(*socket);
                    },
                    plan_.receiveBuffer}
    {
    }

    /*! @brief Work time of a request in seconds; may be replaced before traffic starts. */
    std::function<double(const Message &request)> work = [](const Message &) {
        return 0.02;
    };
    /*! @brief Number of bytes that are added to an answer. */
    std::function<std::size_t(const Message &request)> size = [](const Message &) {
        return std::size_t{0};
    };
    /*! @brief Called before each read of a body. */
    std::function<void()> pace;
    std::function<void(const Run &run)> started;
    std::function<void(const Run &run)> ended;
    std::atomic<bool> isLeaving{};
    std::atomic<bool> sendsReports{true};
    std::atomic<int> sequence{};

    [[nodiscard]] auto plan() const -> const Plan & { return plan_; }

    [[nodiscard]] auto reportBody(const int number, const std::string &state) const -> std::string
    {
        return Json{{"service", plan_.service},
                    {"address", plan_.ip + ":" + std::to_string(plan_.port)},
                    {"zone", "lima-a"},
                    {"version", "v1"},
                    {"slots", plan_.slots},
                    {"state", state},
                    {"cold-left", "0ms"},
                    {"sequence", number},
                    {"born", born_}}
            .dump();
    }

    [[nodiscard]] auto born() const -> std::int64_t { return born_; }

    /*! @brief Sends a call of the registry; returns its status, zero without an answer. */
    [[nodiscard]] auto call(const std::string &path, const std::string &body) const -> int
    {
        Socket socket;
        Message answer;
        if (!socket.connect(plan_.control, plan_.controlPort)
            || !socket.send(
                text("POST " + path + " HTTP/1.1", {{"Host", "control"}, {"Content-Type", "application/json"}}, body))
            || socket.read(answer, 1.0) != Socket::Read::Message) {
            return 0;
        }
        return answer.status();
    }

    auto startReports() -> void
    {
        std::thread{[this] {
            while (true) {
                if (sendsReports) {
                    const auto state = isLeaving ? "draining" : "ready";
                    static_cast<void>(call("/v1/Instances.Heartbeat/" + plan_.id, reportBody(++sequence, state)));
                }
                sleepFor(1.5);
            }
        }}.detach();
    }

    [[nodiscard]] auto runs() -> std::vector<Run>
    {
        const std::lock_guard lock{mutex_};
        return runs_;
    }

    /*! @brief Exits: closes its listening address and all connections; returns false if it has already exited. */
    auto exit() -> bool
    {
        if (hasExited_.exchange(true)) {
            return false;
        }
        record_.write(plan_.id + " exits");
        sendsReports = false;
        listener_.close();
        const std::lock_guard lock{mutex_};
        for (const auto &entry : sockets_) {
            if (const auto socket = entry.lock()) {
                ::shutdown(socket->fd(), SHUT_RDWR);
            }
        }
        return true;
    }

    /*! @brief Starts again as a new incarnation. */
    auto restart(const std::string &id) -> void
    {
        record_.write(plan_.id + " is back as " + id);
        plan_.id = id;
        born_ = now();
        sequence = 0;
        isLeaving = false;
        hasExited_ = false;
        listener_.open();
        sendsReports = true;
    }

    [[nodiscard]] auto running() -> std::size_t
    {
        const std::lock_guard lock{mutex_};
        return running_;
    }

private:
    /*! @brief Unix milliseconds. */
    static auto now() -> std::int64_t
    {
        const auto time = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    }

    auto serve(Socket &socket) -> void
    {
        Message request;
        while (socket.read(request, 10.0, pace) == Socket::Read::Message) {
            if (!answer(socket, request)) {
                return;
            }
        }
    }

    auto answer(Socket &socket, const Message &request) -> bool
    {
        Fields fields{{"Instance-Id", plan_.id}};
        if (isLeaving) {
            fields.emplace_back("Server-Leaving", "1");
            fields.emplace_back("Connection", "close");
        }
        const auto load = [this] {
            const std::lock_guard lock{mutex_};
            return std::to_string(running_) + "," + std::to_string(waiting_) + "," + std::to_string(plan_.slots);
        };
        if (request.word(1) == "/health") {
            fields.emplace_back("Instance-Load", load());
            return socket.send(text(isLeaving ? "HTTP/1.1 503 X" : "HTTP/1.1 200 OK", fields, "")) && !isLeaving;
        }
        const auto target = request.find("Target-Instance");
        if (target && *target != plan_.id) {
            return socket.send(text("HTTP/1.1 421 Misdirected Request", fields, "")) && !isLeaving;
        }
        const auto attempt = request.find("Attempt-Id");
        if (!attempt) {
            fields.emplace_back("Not-Executed", "1");
            return socket.send(text("HTTP/1.1 400 Bad Request", fields, "")) && !isLeaving;
        }
        fields.emplace_back("Attempt-Id", *attempt);
        const auto deadline = seconds() + std::stod(request.find("Deadline-Ms").value_or("60000")) / 1000.0;
        {
            std::unique_lock lock{mutex_};
            if (running_ >= plan_.slots && waiting_ >= plan_.queue) {
                fields.emplace_back("Not-Executed", "1");
                lock.unlock();
                return socket.send(text("HTTP/1.1 503 Service Unavailable", fields, "")) && !isLeaving;
            }
            ++waiting_;
            const auto hasSlot = free_.wait_for(
                lock, std::chrono::duration<double>(deadline - seconds()), [this] { return running_ < plan_.slots; });
            --waiting_;
            if (!hasSlot) {
                fields.emplace_back("Not-Executed", "1");
                lock.unlock();
                return socket.send(text("HTTP/1.1 503 Service Unavailable", fields, "")) && !isLeaving;
            }
            ++running_;
        }
        const Run run{
            seconds(), *attempt, plan_.id, request.find("Tenant").value_or(""), {request.first, request.fields, {}}};
        {
            const std::lock_guard lock{mutex_};
            runs_.push_back(run);
        }
        record_.write("run     " + *attempt + " at " + plan_.id + (isLeaving ? " (leaving)" : ""));
        if (started) {
            started(run);
        }
        const auto length = work(request);
        const auto isLate = seconds() + length > deadline;
        sleepFor(std::min(length, deadline - seconds()));
        {
            const std::lock_guard lock{mutex_};
            --running_;
            free_.notify_one();
        }
        if (hasExited_) {
            return false;
        }
        if (ended) {
            ended(run);
        }
        fields.emplace_back("Response-Seal", "seal-" + *attempt);
        fields.emplace_back("Instance-Load", load());
        return socket.send(text(isLate ? "HTTP/1.1 504 Gateway Timeout" : "HTTP/1.1 200 OK",
                                fields,
                                "answer to " + *attempt + std::string(size(request), '.')))
            && !isLeaving;
    }

    Record &record_;
    Plan plan_;
    std::int64_t born_;
    std::mutex mutex_;
    std::condition_variable free_;
    std::size_t running_{};
    std::size_t waiting_{};
    std::vector<Run> runs_;
    std::vector<std::weak_ptr<Socket>> sockets_;
    std::atomic<bool> hasExited_{};
    Listener listener_;
};

/*! @brief The project's node, started with the command of the deploy file. */
class Node
{
public:
    Node(Record &record, std::string name, std::string ip, std::string service, std::string store, std::string folder)
        : record_{record}
        , name_{std::move(name)}
        , ip_{std::move(ip)}
        , folder_{std::move(folder)}
    {
        std::map<std::string, std::string> values{{"node-name", name_},
                                                  {"zone", "lima-a"},
                                                  {"service", std::move(service)},
                                                  {"app-addr", ip_ + ":8547"},
                                                  {"platform.address", std::move(store)},
                                                  {"listen-addrs.outbound", ip_ + ":8548"},
                                                  {"listen-addrs.ready", ip_ + ":8546"},
                                                  {"listen-addrs.control", ip_ + ":8540"},
                                                  {"ip", ip_},
                                                  {"internal-ports.0", "7000"},
                                                  {"bounds.grace", "6s"},
                                                  {"bounds.revoke", "5000ms"},
                                                  {"bounds.retry-budget-ratio", "0.2"},
                                                  {"bounds.budget-slack", "48"},
                                                  {"bounds.budget-window", "10s"},
                                                  {"bounds.quota-over", "0.1"},
                                                  {"bounds.quota-window", "5s"},
                                                  {"bounds.quota-slack", "20"},
                                                  {"limits.memory-mb", "260"}};
        std::ifstream file{"deploy/node.json.template"};
        std::stringstream content;
        content << file.rdbuf();
        auto settings = content.str();
        for (const auto &[key, value] : values) {
            const auto mark = "{{" + key + "}}";
            for (auto at = settings.find(mark); at != std::string::npos; at = settings.find(mark)) {
                settings.replace(at, mark.size(), value);
            }
        }
        if (settings.find("{{") != std::string::npos) {
            throw std::runtime_error{"unknown placeholder in deploy/node.json.template"};
        }
        std::ofstream{settingsFile()} << settings;
        command_ = deployCommand();
    }

    Node(const Node &) = delete;
    auto operator=(const Node &) -> Node & = delete;
    ~Node() { kill(); }

    auto start() -> void
    {
        const auto settings = "JASMINELATCH_CONFIG=" + settingsFile();
        const auto log = folder_ + "/" + name_ + ".log";
        const auto parent = ::getpid();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(1);
            }
            const auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(output, 1);
            ::dup2(output, 2);
            std::string program = command_;
            std::array<char *, 2> arguments{program.data(), nullptr};
            std::string home = "HOME=/tmp";
            std::string path = "PATH=/usr/bin:/bin";
            std::string variable = settings;
            std::array<char *, 4> environment{variable.data(), home.data(), path.data(), nullptr};
            ::execve(program.c_str(), arguments.data(), environment.data());
            ::_exit(127);
        }
        record_.write("node " + name_ + " started");
    }

    auto signal(const int number) -> void
    {
        record_.write("node " + name_ + " gets signal " + std::to_string(number));
        ::kill(pid_, number);
    }

    /*! @brief Waits for its end; returns whether it has ended. */
    auto waitEnd(const double timeout) -> bool
    {
        const auto end = seconds() + timeout;
        while (pid_ > 0 && seconds() < end) {
            int status{};
            if (::waitpid(pid_, &status, WNOHANG) == pid_) {
                pid_ = 0;
                record_.write("node " + name_ + " has ended");
            } else {
                sleepFor(0.01);
            }
        }
        return pid_ == 0;
    }

    auto kill() -> void
    {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = 0;
        }
    }

    [[nodiscard]] auto isRunning() const -> bool { return pid_ > 0; }

    /*! @brief Resident memory in MB. */
    [[nodiscard]] auto memory() const -> double
    {
        std::ifstream file{"/proc/" + std::to_string(pid_) + "/status"};
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("VmRSS:")) {
                return std::atof(line.c_str() + 6) / 1024.0;
            }
        }
        return 0.0;
    }

    [[nodiscard]] auto isReady() const -> bool
    {
        Socket socket;
        Message answer;
        return socket.connect(ip_, 8546) && socket.send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            && socket.read(answer, 1.0) == Socket::Read::Message && answer.status() == 200;
    }

    [[nodiscard]] auto ip() const -> const std::string & { return ip_; }
    [[nodiscard]] auto name() const -> const std::string & { return name_; }

private:
    [[nodiscard]] auto settingsFile() const -> std::string { return folder_ + "/" + name_ + ".json"; }

    /*! @brief Reads the `run` line of the deploy file. */
    static auto deployCommand() -> std::string
    {
        std::ifstream file{"deploy/system.toml"};
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("run = \"")) {
                return line.substr(7, line.rfind('"') - 7);
            }
        }
        throw std::runtime_error{"no run line in deploy/system.toml"};
    }

    Record &record_;
    std::string name_;
    std::string ip_;
    std::string folder_;
    std::string command_;
    pid_t pid_{};
};

/*! @brief What a client got. */
struct Reply {
    enum class End { Answered, Closed, Timeout, NotConnected } end{End::NotConnected};
    Message answer;
    double sentAt{};
    double endedAt{};

    [[nodiscard]] auto status() const -> int { return end == End::Answered ? answer.status() : 0; }

    [[nodiscard]] auto toText() const -> std::string
    {
        switch (end) {
        case End::Answered:
            return std::to_string(answer.status()) + (answer.find("Response-Seal") ? " with seal" : "");
        case End::Closed:
            return "connection closed without an answer";
        case End::Timeout:
            return "no answer";
        case End::NotConnected:
            return "not connected";
        }
        return {};
    }
};

/*! @brief Client on one machine; keeps its connection. */
class Client
{
public:
    struct Call {
        std::string attempt;
        std::string method{"GET"};
        std::string target{"/m/1"};
        std::string key{"key-club"};
        int deadlineMs{5000};
        std::string body{};
    };

    Client(Record &record, std::string ip)
        : record_{record}
        , ip_{std::move(ip)}
    {
    }

    [[nodiscard]] auto send(const Call &call) -> Reply
    {
        Reply reply;
        reply.sentAt = seconds();
        if (!socket_.isOpen() && !socket_.connect(ip_, 8548)) {
            record_.write("client  " + call.attempt + " not connected to " + ip_);
            reply.endedAt = seconds();
            return reply;
        }
        Fields fields{
            {"Host", "a.example"}, {"Attempt-Id", call.attempt}, {"Deadline-Ms", std::to_string(call.deadlineMs)}};
        if (!call.key.empty()) {
            fields.emplace_back("Authorization", "Bearer " + call.key);
        }
        record_.write("client  " + call.attempt + " " + call.method + " " + call.target + " sent to " + ip_
                      + (call.body.empty() ? "" : ", body of " + std::to_string(call.body.size()) + " bytes"));
        const auto hasBody = call.method != "GET";
        const auto timeout = call.deadlineMs / 1000.0;
        if (!socket_.send(text(call.method + " " + call.target + " HTTP/1.1", fields, call.body, hasBody), timeout)) {
            reply.end = Reply::End::Closed;
        } else {
            const auto result = socket_.read(reply.answer, reply.sentAt + timeout - seconds());
            reply.end = result == Socket::Read::Message ? Reply::End::Answered
                      : result == Socket::Read::Closed  ? Reply::End::Closed
                                                        : Reply::End::Timeout;
        }
        reply.endedAt = seconds();
        if (reply.end != Reply::End::Answered
            || reply.answer.find("Connection").value_or("").find("close") != std::string::npos) {
            socket_.close();
        }
        record_.write("client  " + call.attempt + " got " + reply.toText());
        return reply;
    }

private:
    Record &record_;
    std::string ip_;
    Socket socket_;
};

/*! @brief Network of one run: a random part of the loopback network, so that ports are free. */
class Network
{
public:
    Network()
    {
        std::random_device device;
        prefix_ = "127." + std::to_string(std::uniform_int_distribution{10, 250}(device)) + "."
                + std::to_string(std::uniform_int_distribution{1, 250}(device)) + ".";
    }

    [[nodiscard]] auto ip(const int number) const -> std::string { return prefix_ + std::to_string(number); }

private:
    std::string prefix_;
};

/*! @brief Temporary folder, removed by the destructor. */
class Folder
{
public:
    Folder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "jasminelatch-review-XXXXXX").string();
        path_ = ::mkdtemp(pattern.data());
    }
    Folder(const Folder &) = delete;
    auto operator=(const Folder &) -> Folder & = delete;
    ~Folder()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(path_);
        } else {
            std::cerr << path_ << '\n';
        }
    }
    [[nodiscard]] auto path() const -> const std::string & { return path_; }

private:
    std::string path_;
};

inline auto waitUntil(const std::function<bool()> &condition, const double timeout) -> bool
{
    const auto end = seconds() + timeout;
    while (seconds() < end) {
        if (condition()) {
            return true;
        }
        sleepFor(0.05);
    }
    return false;
}

/*! @brief Route of a configuration. */
inline auto route(const std::string &prefix,
                  const std::string &kind,
                  const std::string &service,
                  const std::string &timeout,
                  const bool isAnonymous = false) -> Json
{
    return {{"resource-kind", "routes"},
            {"metadata", {{"name", "r-" + prefix.substr(1, prefix.size() - 2)}}},
            {"spec",
             {{"host", "a.example"},
              {"path-prefix", prefix},
              {"route-type", kind},
              {"timeout", timeout},
              {"target-latency", "2000ms"},
              {"priority", 0},
              {"service", service},
              {"max-attempts", 2},
              {"allow-anonymous", isAnonymous}}}};
}

inline auto service(const std::string &name) -> Json
{
    return {{"resource-kind", "services"},
            {"metadata", {{"name", name}}},
            {"spec", {{"health-path", "/health"}, {"max-connections", 532}, {"protocol", "h1"}, {"tls", false}}}};
}

inline auto tenant(const std::string &name, const std::vector<std::string> &keys) -> Json
{
    return {{"resource-kind", "tenants"},
            {"metadata", {{"name", name}}},
            {"spec", {{"api-keys", keys}, {"priority", 1}, {"rate-per-s", 0}, {"burst", 0}}}};
}

inline auto limits(const std::string &idleTimeout) -> Json
{
    return {{"resource-kind", "limits"},
            {"metadata", Json::object()},
            {"spec",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 67108864},
              {"header-timeout", "3000ms"},
              {"idle-timeout", idleTimeout}}}};
}

inline auto configuration(const std::string &version,
                          std::vector<Json> resources,
                          const std::string &idleTimeout = "15000ms") -> std::string
{
    resources.push_back(limits(idleTimeout));
    return Json{{"version", version}, {"resources", resources}}.dump();
}

/*! @brief Runs a case; returns its exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
inline auto runCase(const char *folder, const std::function<int(Record &record, bool isTroubled)> &play) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto *trouble = std::getenv("TROUBLE");
    const auto isTroubled = trouble == nullptr || std::string{trouble} != "0";
    Record record{std::string{folder} + "/record.txt"};
    record.write(isTroubled ? "with the disruption" : "without the disruption");
    auto code = 2;
    try {
        code = play(record, isTroubled);
    } catch (const std::exception &failure) {
        record.write(std::string{"the case couldn't run: "} + failure.what());
    }
    record.write("exit " + std::to_string(code)
                 + (code == 1   ? ": the rule was broken"
                    : code == 0 ? ": the rule held"
                                : ""));
    return code;
}

} // namespace review

#endif

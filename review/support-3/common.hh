// Parts that the scripts of the third review share: a site of a few machines with a store, and its configuration.
#ifndef REVIEW_SUPPORT_3_COMMON_HH
#define REVIEW_SUPPORT_3_COMMON_HH

#include "stage.hh"

namespace stage {

inline const std::string key = "6wsjnbanfqasnmgkcuyj";
inline const std::string host = "hulo84.example";

inline auto route(const std::string &name, const std::string &prefix, const std::string &type, const std::string &more)
    -> std::string
{
    return R"({"resource-kind":"routes","metadata":{"name":")" + name + R"("},"spec":{"host":")" + host
         + R"(","path-prefix":")" + prefix + R"(","route-type":")" + type
         + R"(","target-latency":"1500ms","priority":1,"service":"huvo11a","max-attempts":2,"allow-anonymous":false,)"
         + more + "}}";
}

/*! @brief Configuration with the limits of the settings page's example and one tenant without a usage cap. */
inline auto configuration(const std::string &version, const std::string &routes) -> std::string
{
    return R"({"version":")" + version + R"(","resources":[)" + routes
         + R"(,{"resource-kind":"services","metadata":{"name":"huvo11a"},"spec":{"health-path":"/health",)"
           R"("max-connections":820,"protocol":"h1","tls":false}},)"
           R"({"resource-kind":"tenants","metadata":{"name":"pulo780"},"spec":{"api-keys":[")"
         + key
         + R"("],"priority":1,"rate-per-s":0,"burst":0}},{"resource-kind":"limits","metadata":{},"spec":)"
           R"({"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3000ms","idle-timeout":"20000ms"}}]})";
}

/*! @brief Ends the run: kills the nodes, removes the files and leaves. */
[[noreturn]] inline auto finish(Place &place, std::vector<Machine> &machines, const int result, const std::string &why)
    -> void
{
    for (auto &machine : machines) {
        machine.killNode();
    }
    note("result " + std::to_string(result) + ": " + why);
    std::cout << why << std::endl;
    place.~Place();
    std::_Exit(result);
}

/*! @brief Opens the store at the address of each machine. */
inline auto openStore(Store &store, const std::vector<Machine> &machines) -> bool
{
    return std::all_of(
        machines.begin(), machines.end(), [&](const auto &machine) { return store.open(machine.store); });
}

/*! @brief Waits until an ordinary request succeeds at a machine. */
inline auto waitServing(const Machine &machine, const std::string &path, const double timeout) -> bool
{
    const auto end = secondsNow() + timeout;
    while (secondsNow() < end) {
        const auto answer = ask(machine.outbound(), requestText("GET", path, host, randomId(), key, 2000), 2.5);
        if (answer && answer->status() == 200) {
            return true;
        }
        pause(0.1);
    }
    return false;
}

/*!
 * @brief Clients that keep their connections, and what became of their requests: the check of LOST.
 *
 * A request is lost if it was not the first on its connection, ran at sound instances only, and its connection ended
 * without an answer within its time budget. A process that ends by itself counts as running all the while.
 */
class KeptClients
{
public:
    static constexpr int budgetMs = 4000;

    /*! @brief Records that an instance runs a request. */
    auto recordRun(const std::string &id, const bool isSound) -> void
    {
        const std::lock_guard lock{mutex_};
        auto &run = runs_[id];
        ++(isSound ? run.first : run.second);
    }

    auto start(const Machine &machine, const int count) -> void
    {
        for (int i = 0; i < count; ++i) {
            std::thread{[this, &machine] {
                for (;;) {
                    keepConnection(machine);
                    pause(0.1);
                }
            }}.detach();
        }
    }

    /*! @brief Writes the lost requests to the record and returns their number. */
    [[nodiscard]] auto countLost() -> int
    {
        const std::lock_guard lock{mutex_};
        auto lost = 0;
        for (const auto &[id, machine] : unanswered_) {
            const auto run = runs_.find(id);
            if (run != runs_.end() && run->second.first > 0 && run->second.second == 0) {
                ++lost;
                note("LOST: " + id + " at " + machine
                     + ", run by a sound instance, kept connection ended without an answer");
            }
        }
        return lost;
    }

    [[nodiscard]] auto answered() const -> int { return answered_; }
    [[nodiscard]] auto failed() const -> int { return failed_; }

private:
    auto keepConnection(const Machine &machine) -> void
    {
        const int fd = dial(machine.outbound());
        std::string buffer;
        for (int number = 0; fd >= 0; ++number) {
            const auto id = randomId();
            const auto sentAt = secondsNow();
            const auto isSent = sendAll(fd, requestText("GET", "/leny950/kept", host, id, key, budgetMs));
            const auto answer = isSent ? readMessage(fd, buffer, budgetMs / 1000.0) : std::nullopt;
            if (!answer) {
                if (isSent && number > 0 && secondsNow() < sentAt + budgetMs / 1000.0 - 0.1) {
                    const std::lock_guard lock{mutex_};
                    unanswered_[id] = machine.name;
                }
                break;
            }
            ++answered_;
            if (answer->status() != 200) {
                ++failed_;
                pause(0.5);
            }
            if (answer->find("Connection") == "close") {
                break;
            }
        }
        if (fd >= 0) {
            close(fd);
        }
    }

    std::mutex mutex_;
    std::map<std::string, std::pair<int, int>> runs_; /*!< Runs at sound and at other instances. */
    std::map<std::string, std::string> unanswered_; /*!< Machine by request. */
    std::atomic<int> answered_{};
    std::atomic<int> failed_{};
};

/*! @brief Lets this process open enough connections. */
inline auto raiseFileLimit(const rlim_t wanted) -> bool
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min(std::max(limit.rlim_cur, wanted), limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur >= wanted;
}

} // namespace stage

#endif

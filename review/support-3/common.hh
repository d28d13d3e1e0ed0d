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

// Case "storm": the store turns one machine away for some seconds, while a large configuration changes in quick
// succession. Afterwards the store serves the machine again.
#include "common.hh"

using namespace stage;

namespace {

constexpr int manyRoutes = 1'400; /*!< Routes that the configuration has beside the used ones. */
constexpr int changes = 21;
constexpr double gap = 0.212; /*!< Seconds between two changes. */
constexpr double outage = 9.0; /*!< Seconds for which the store turns the machine away. */
constexpr double contact = 3.0;
constexpr double applyTime = 2.5; /*!< `config-apply`. */
constexpr double watched = 30.0; /*!< Seconds for which requests are sent after the outage. */

/*! @brief Routes as an operator's tool writes them; only the timeouts of the unused ones change. */
auto routes(const std::string &service, const int step) -> std::string
{
    auto text = R"({"resource-kind":"routes","metadata":{"name":"r-call"},"spec":{"host":")" + host
              + R"(","path-prefix":"/calls/","route-type":"idempotent","timeout":"2000ms","target-latency":"1200ms",)"
                R"("priority":0,"service":")"
              + service + R"(","max-attempts":2,"allow-anonymous":true}},)";
    text += route("r1", "/leny950/", "idempotent", R"("timeout":"2000ms")");
    for (int i = 0; i < manyRoutes; ++i) {
        const auto number = std::to_string(1000 + i);
        text += R"(,{"resource-kind":"routes","metadata":{"name":"r-added-)" + number + R"("},"spec":{"host":"added)"
              + number + R"(.example","path-prefix":"/added)" + number
              + R"(/part/","route-type":"idempotent","timeout":")" + std::to_string(800 + step)
              + R"(ms","target-latency":"1500ms","priority":2,"traffic-split":[{"service":"huvo11a","weight":90},)"
                R"({"service":"lovo22d","weight":10}],"max-attempts":2,"allow-anonymous":false}})";
    }
    return text
         + R"(,{"resource-kind":"services","metadata":{"name":"lovo22d"},"spec":{"health-path":"/health",)"
           R"("max-connections":820,"protocol":"h1","tls":false}})";
}

auto versionText(const int version) -> std::string
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", version);
    return text;
}

} // namespace

auto main() -> int
{
    guardRun();
    record.open("review/" + std::string{std::getenv("CASE")} + "/record.txt");
    Place place;
    Store store;
    std::vector<Machine> machines{place.machine(1, "a", "huvo11a"), place.machine(2, "b", "lovo22d")};
    if (!openStore(store, machines)) {
        finish(place, machines, 2, "no port");
    }
    std::vector<std::unique_ptr<Instance>> instances;
    for (auto &machine : machines) {
        auto work = [&instances, index = instances.size()](const int fd, const Message &request) {
            return sendAll(fd, instances[index]->success(request, instances[index]->id()));
        };
        instances.push_back(std::make_unique<Instance>(machine, "i-" + machine.service, work));
        if (!instances.back()->open()) {
            finish(place, machines, 2, "no port for an instance");
        }
    }
    auto version = 7;
    const auto first = configuration(versionText(version), routes("huvo11a", 0));
    note("a configuration has " + std::to_string(first.size()) + " bytes");
    store.put("op/config", first);
    for (auto &machine : machines) {
        machine.startNode();
    }
    for (auto &machine : machines) {
        if (!machine.waitReady(10) || !waitServing(machine, "/leny950/2f", 10)) {
            finish(place, machines, 2, "a node does not serve");
        }
    }
    pause(2);
    if (hasTrouble()) {
        note("the store turns machine a away");
        store.setRefused(machines[0].store, true);
    }
    const auto start = secondsNow();
    pause(1);
    for (int change = 1; change <= changes; ++change) {
        ++version;
        store.put("op/config",
                  configuration(versionText(version), routes(change == changes ? "lovo22d" : "huvo11a", change)));
        pause(gap);
    }
    const auto acknowledged = secondsNow();
    note("version " + versionText(version) + " moves the calls to lovo22d; acknowledged");
    pause(std::max(start + outage - secondsNow(), 0.0));
    store.setRefused(machines[0].store, false);
    note("the store serves machine a");
    const auto served = secondsNow();
    // In touch from here on; without trouble the machine is in touch all the while.
    const auto from = std::max(hasTrouble() ? served + contact : 0.0, acknowledged + applyTime);
    std::map<std::string, int> early;
    std::map<std::string, int> bound;
    auto lastOld = 0.0;
    while (secondsNow() < served + watched) {
        const auto sentAt = secondsNow();
        const auto answer =
            ask(machines[0].outbound(), requestText("GET", "/calls/7", host, randomId(), "", 2000), 2.5);
        const auto seen = !answer ? std::string{"none"} : answer->status() == 200 ? answer->body : answer->word(1);
        ++(sentAt > from ? bound : early)[seen];
        if (sentAt > from && seen == "i-huvo11a") {
            lastOld = sentAt;
        }
        pause(0.05);
    }
    const auto text = [](const auto &counts) {
        std::string result;
        for (const auto &[seen, count] : counts) {
            result += " " + seen + " x " + std::to_string(count);
        }
        return result;
    };
    auto seen =
        "calls sent in touch and later than config-apply after the ack:" + text(bound) + "; before that:" + text(early);
    if (lastOld > 0.0) {
        seen += "; the last one at the old service " + std::to_string(lastOld - from) + " s after the bound";
    }
    finish(place, machines, bound["i-huvo11a"] > 0 ? 1 : 0, seen);
}

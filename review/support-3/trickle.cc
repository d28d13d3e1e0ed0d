// Case "trickle": clients that send large bodies piece by piece hold all connections of a node, so that ordinary
// callers on the machine get no answer while the node says that it is ready.
#include "common.hh"

using namespace stage;

namespace {

constexpr int crowd = 2'100; /*!< Connections with unfinished bodies; a node may open 4,100 descriptors. */
constexpr double pieceInterval = 1.0; /*!< Seconds between two pieces of a body; `header-timeout` is 3 s. */
constexpr int ordinaryClients = 8;
constexpr double contact = 3.0; /*!< Bound of the rule, in seconds. */
constexpr double length = 20.0; /*!< Seconds for which the crowd stays. */

std::mutex mutex;
double answeredAt; /*!< When an ordinary client last got an answer on a new connection. */
double unreadyAt; /*!< When the node was last not ready. */
double longest; /*!< Longest time in which it was ready and gave no ordinary client an answer. */
int triesSince; /*!< Tries of ordinary clients since `answeredAt`. */
std::map<std::string, int> ends;

auto note503(const std::optional<Message> &answer) -> std::string
{
    return answer ? answer->word(1) : "none";
}

auto ordinaryClient(const Machine &machine) -> void
{
    for (;;) {
        const auto answer =
            ask(machine.outbound(), requestText("GET", "/leny950/2f", host, randomId(), key, 2000), 2.5);
        {
            const std::lock_guard lock{mutex};
            ++ends[note503(answer)];
            if (answer) {
                answeredAt = secondsNow();
                triesSince = 0;
            } else {
                ++triesSince;
            }
        }
        pause(0.25);
    }
}

auto watchReadiness(const Machine &machine) -> void
{
    for (;;) {
        const auto isReady = machine.isReady();
        {
            const std::lock_guard lock{mutex};
            if (!isReady) {
                unreadyAt = secondsNow();
            }
            if (triesSince >= ordinaryClients) {
                longest = std::max(longest, secondsNow() - std::max(answeredAt, unreadyAt));
            }
        }
        pause(0.2);
    }
}

/*! @brief Opens connections with bodies of legal size and sends a byte on each from time to time. */
auto runCrowd(const Machine &machine) -> void
{
    auto head = requestText("POST", "/puka111/2f", host, "", key, 6000);
    const std::string none = "Content-Length: 0";
    head.replace(head.find(none), none.size(), "Content-Length: 1000000");
    std::vector<int> connections;
    const auto end = secondsNow() + length;
    auto opened = 0;
    auto next = secondsNow();
    while (secondsNow() < end) {
        // Those that the node has closed come again.
        while (static_cast<int>(connections.size()) < crowd && secondsNow() < next + pieceInterval) {
            const int fd = dial(machine.outbound());
            auto text = head;
            const std::string id = "Attempt-Id: ";
            text.insert(text.find(id) + id.size(), randomId());
            if (fd >= 0 && sendAll(fd, text)) {
                connections.push_back(fd);
                ++opened;
            } else if (fd >= 0) {
                close(fd);
            }
        }
        for (auto &fd : connections) {
            char byte;
            const auto isClosed = recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) >= 0;
            if (isClosed || !sendAll(fd, "x")) {
                close(std::exchange(fd, -1));
            }
        }
        std::erase(connections, -1);
        note("crowd: " + std::to_string(connections.size()) + " connections open, " + std::to_string(opened)
             + " opened so far");
        next += pieceInterval;
        pause(std::max(next - secondsNow(), 0.01));
    }
    for (const int fd : connections) {
        close(fd);
    }
}

} // namespace

auto main() -> int
{
    guardRun();
    record.open("review/" + std::string{std::getenv("CASE")} + "/record.txt");
    Place place;
    Store store;
    std::vector<Machine> machines{place.machine(1, "a", "huvo11a"), place.machine(2, "b", "huvo11a")};
    if (!raiseFileLimit(crowd + 500) || !openStore(store, machines)) {
        finish(place, machines, 2, "no descriptors or no port");
    }
    std::vector<std::unique_ptr<Instance>> instances;
    for (auto &machine : machines) {
        auto work = [&instances, index = instances.size()](const int fd, const Message &request) {
            return sendAll(fd, instances[index]->success(request, "hello"));
        };
        instances.push_back(std::make_unique<Instance>(machine, "i-" + machine.name, work));
        if (!instances.back()->open()) {
            finish(place, machines, 2, "no port for an instance");
        }
    }
    store.put("op/config",
              configuration("00000007",
                            route("r1", "/leny950/", "idempotent", R"("timeout":"2000ms")") + ","
                                + route("r2", "/puka111/", "non_idempotent", R"("timeout":"2000ms")")));
    for (auto &machine : machines) {
        machine.startNode();
    }
    for (auto &machine : machines) {
        if (!machine.waitReady(10) || !waitServing(machine, "/leny950/2f", 10)) {
            finish(place, machines, 2, "a node does not serve");
        }
    }
    answeredAt = secondsNow();
    for (int i = 0; i < ordinaryClients; ++i) {
        std::thread{[&machines] {
            ordinaryClient(machines.front());
        }}.detach();
        pause(0.03);
    }
    std::thread{[&machines] {
        watchReadiness(machines.front());
    }}.detach();
    pause(2);
    if (hasTrouble()) {
        runCrowd(machines.front());
    } else {
        pause(length);
    }
    pause(2);
    const std::lock_guard lock{mutex};
    std::string seen = "longest time ready without an answer to " + std::to_string(ordinaryClients)
                     + " ordinary clients: " + std::to_string(longest) + " s; their answers:";
    for (const auto &[status, count] : ends) {
        seen += " " + status + " x " + std::to_string(count);
    }
    finish(place, machines, longest >= contact ? 1 : 0, seen);
}

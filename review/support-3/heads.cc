// Case "heads": clients whose requests' heads do not end. Two machines with 260 MB; the platform's stand-in kills a
// node that holds more, and starts it again after half a second.
#include "common.hh"

using namespace stage;

namespace {

constexpr int crowd = 1'000; /*!< Connections of a wave at one machine; a node may open 4,100 descriptors. */
constexpr int keptClients = 20; /*!< Clients with kept connections at each machine. */
constexpr int mostLost = 3; /*!< Bound of the rule. */
constexpr std::size_t headBytes = 16'200; /*!< Bytes that each client sends of its head; the limit is 16,384. */

std::mutex nodesMutex;
std::map<std::string, int> overLimit; /*!< Processes that ended since they held more than `memory-mb`. */
std::map<std::string, int> ended; /*!< Processes that ended otherwise. */
std::map<std::string, std::size_t> peak;

/*! @brief What the platform does: ends a process above its memory limit, starts one that has ended. */
auto supervise(Machine &machine) -> void
{
    const auto limit = static_cast<std::size_t>(machine.memoryMb) << 20U;
    for (;;) {
        pause(0.01);
        const std::lock_guard lock{nodesMutex};
        const auto resident = machine.residentBytes();
        peak[machine.name] = std::max(peak[machine.name], resident);
        auto mustStart = false;
        if (const auto status = machine.hasEnded()) {
            ++ended[machine.name];
            note("node " + machine.name + " ended by itself, status " + std::to_string(*status));
            mustStart = true;
        } else if (resident > limit) {
            machine.killNode();
            ++overLimit[machine.name];
            note("node " + machine.name + " held " + std::to_string(resident >> 20U) + " MB of "
                 + std::to_string(machine.memoryMb) + " and was killed");
            mustStart = true;
        }
        if (mustStart) {
            pause(0.5);
            machine.startNode();
        }
    }
}

/*! @brief A head with short fields and without its end. */
auto unfinishedHead() -> std::string
{
    auto head = requestText("GET", "/leny950/2f", host, randomId(), key, 6000);
    head.resize(head.size() - 2);
    while (head.size() + 4 <= headBytes) {
        head += "a:\r\n";
    }
    return head;
}

auto endsOf(const Machine &machine) -> int
{
    const std::lock_guard lock{nodesMutex};
    return overLimit[machine.name] + ended[machine.name];
}

/*! @brief Opens a wave of connections at a machine and holds them until the node has ended, three seconds at most. */
auto sendWave(const Machine &machine) -> void
{
    const auto before = endsOf(machine);
    std::vector<int> connections;
    for (int i = 0; i < crowd && endsOf(machine) == before; ++i) {
        const int fd = dial(machine.outbound());
        if (fd >= 0) {
            sendAll(fd, unfinishedHead());
            connections.push_back(fd);
        }
    }
    for (int i = 0; i < 20 && endsOf(machine) == before; ++i) {
        pause(0.1);
    }
    note(std::to_string(connections.size()) + " clients sent " + std::to_string(headBytes) + " bytes of a head to "
         + machine.name);
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
    if (!raiseFileLimit(2000) || !openStore(store, machines)) {
        finish(place, machines, 2, "no descriptors or no port");
    }
    KeptClients kept;
    std::vector<std::unique_ptr<Instance>> instances;
    for (auto &machine : machines) {
        auto work = [&instances, &kept, index = instances.size()](const int fd, const Message &request) {
            if (request.word(1) == "/leny950/kept") {
                kept.recordRun(request.find("Attempt-Id"), true);
                pause(0.3);
            }
            return sendAll(fd, instances[index]->success(request, "hello"));
        };
        instances.push_back(std::make_unique<Instance>(machine, "i-" + machine.name, work));
        if (!instances.back()->open()) {
            finish(place, machines, 2, "no port for an instance");
        }
    }
    store.put("op/config", configuration("00000007", route("r1", "/leny950/", "idempotent", R"("timeout":"2000ms")")));
    for (auto &machine : machines) {
        machine.startNode();
    }
    for (auto &machine : machines) {
        if (!machine.waitReady(10) || !waitServing(machine, "/leny950/2f", 10)) {
            finish(place, machines, 2, "a node does not serve");
        }
    }
    std::atomic<int> served{0};
    std::atomic<int> unserved{0};
    for (auto &machine : machines) {
        std::thread{[&machine] {
            supervise(machine);
        }}.detach();
        std::thread{[&machine, &served, &unserved] {
            for (;;) {
                const auto answer =
                    ask(machine.outbound(), requestText("GET", "/leny950/2f", host, randomId(), key, 2000), 2.5);
                ++(answer && answer->status() == 200 ? served : unserved);
                pause(0.1);
            }
        }}.detach();
    }
    for (const auto &machine : machines) {
        kept.start(machine, keptClients);
    }
    // All machines are in touch: longer than `contact` since their starts.
    pause(3.5);
    for (auto &machine : machines) {
        if (hasTrouble()) {
            sendWave(machine);
        } else {
            pause(2);
        }
    }
    pause(1);
    nodesMutex.lock();
    const auto lost = kept.countLost();
    std::string seen;
    for (auto &machine : machines) {
        const auto ends = overLimit[machine.name] + ended[machine.name];
        seen += machine.name + ": ended " + std::to_string(ends) + " times, " + std::to_string(overLimit[machine.name])
              + " of them over its memory, peak " + std::to_string(peak[machine.name] >> 20U) + " MB; ";
    }
    seen += std::to_string(lost) + " requests lost on kept connections, " + std::to_string(kept.answered())
          + " answered; ordinary requests served " + std::to_string(served) + ", not served "
          + std::to_string(unserved);
    finish(place, machines, lost > mostLost ? 1 : 0, seen);
}

// Case "endless": two of four instances are in trouble: the heads of their answers do not end. The platform's stand-in
// kills a node that holds more than its memory, and starts it again after half a second.
#include "common.hh"

using namespace stage;

namespace {

constexpr int slots = 324;
constexpr int memoryMb = 160;
constexpr double requestsPerSecond = 200.0; /*!< Sent at each machine; its instance can run 324 at once. */
constexpr double length = 30.0;
constexpr std::size_t headBytes = 32'000; /*!< Bytes of a head that come at once; the others follow slowly. */

std::mutex nodesMutex;
std::map<std::string, int> overLimit; /*!< Processes that ended since they held more than `memory-mb`. */
std::map<std::string, int> ended; /*!< Processes that ended otherwise. */
std::map<std::string, std::size_t> peak;

auto supervise(Machine &machine) -> void
{
    const auto limit = static_cast<std::size_t>(machine.memoryMb) << 20U;
    for (;;) {
        pause(0.02);
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
            std::thread{[&machine] {
                pause(0.5);
                const std::lock_guard again{nodesMutex};
                machine.startNode();
            }}.detach();
            pause(0.6);
        }
    }
}

/*! @brief Sends the head of an answer that does not end, until the caller closes. */
auto sendEndlessHead(const int fd) -> bool
{
    std::string text = "HTTP/1.1 200 OK\r\n";
    while (text.size() + 4 <= headBytes) {
        text += "a:\r\n";
    }
    while (sendAll(fd, text)) {
        text = "a:\r\n";
        pause(0.25);
    }
    return false;
}

} // namespace

auto main() -> int
{
    guardRun();
    record.open("review/" + std::string{std::getenv("CASE")} + "/record.txt");
    Place place;
    Store store;
    std::vector<Machine> machines;
    for (int i = 1; i <= 4; ++i) {
        machines.push_back(place.machine(i, std::string(1, static_cast<char>('a' + i % 3)), "huvo11a"));
        machines.back().memoryMb = memoryMb;
    }
    if (!raiseFileLimit(4000) || !openStore(store, machines)) {
        finish(place, machines, 2, "no descriptors or no port");
    }
    std::atomic<bool> isInTrouble{false};
    std::vector<std::unique_ptr<Instance>> instances;
    for (auto &machine : machines) {
        auto work = [&instances, &isInTrouble, index = instances.size()](const int fd, const Message &request) {
            if (isInTrouble && index < 2) {
                return sendEndlessHead(fd);
            }
            pause(0.02);
            return sendAll(fd, instances[index]->success(request, "hello"));
        };
        instances.push_back(std::make_unique<Instance>(machine, "i-" + machine.name, work));
        instances.back()->slots = slots;
        if (!instances.back()->open()) {
            finish(place, machines, 2, "no port for an instance");
        }
    }
    store.put("op/config", configuration("00000007", route("r1", "/leny950/", "download", R"("timeout":"4000ms")")));
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
            auto next = secondsNow();
            for (;;) {
                next += 1.0 / requestsPerSecond;
                std::thread{[&machine, &served, &unserved] {
                    const auto answer =
                        ask(machine.outbound(), requestText("GET", "/leny950/2f", host, randomId(), key, 4000), 4.5);
                    ++(answer && answer->status() == 200 ? served : unserved);
                }}.detach();
                pause(std::max(next - secondsNow(), 0.0));
            }
        }}.detach();
    }
    pause(3);
    note("served " + std::to_string(served) + ", not served " + std::to_string(unserved) + " before the trouble");
    isInTrouble = hasTrouble();
    pause(length);
    nodesMutex.lock();
    auto machinesBroken = 0;
    std::string seen;
    for (auto &machine : machines) {
        const auto ends = overLimit[machine.name] + ended[machine.name];
        machinesBroken += ends >= 3 ? 1 : 0;
        seen += machine.name + ": ended " + std::to_string(ends) + " times, " + std::to_string(overLimit[machine.name])
              + " of them over its memory, peak " + std::to_string(peak[machine.name] >> 20U) + " MB; ";
    }
    seen += "requests served " + std::to_string(served) + ", not served " + std::to_string(unserved);
    finish(place, machines, machinesBroken >= 2 ? 1 : 0, seen);
}

// Review case 7: the deregistration of an incarnation that the node does not know yet is acknowledged and forgotten.

#include "kit.hpp"

namespace {

using namespace review;

/*! @brief Bound of the pages: `drain` of the small sites. */
constexpr Milliseconds drain{2000};
/*! @brief Allowance for the time that a request needs from the client to the instance. */
constexpr Milliseconds margin{200};

auto play(Record &record, const std::filesystem::path &folder, const bool hasTrouble) -> bool
{
    Store store;
    store.put("op/config",
              config(5,
                     {route("order", "/order/", "non_idempotent", "pedidos"),
                      route("view", "/view/", "idempotent", "pedidos")},
                     {"pedidos"}));
    const Machine first{"sidecar-a-1", "zone-a", "pedidos", freePorts(1).front(), store.port()};
    const Machine second{"sidecar-b-1", "zone-b", "pedidos", freePorts(1).front(), store.port()};
    std::mutex mutex;
    std::map<std::string, SteadyClock::time_point> sent;
    std::optional<SteadyClock::time_point> acknowledged;
    std::size_t late = 0;
    const auto ran = [&](const std::string &instance) {
        return [&, instance](const Message &request) {
            const std::lock_guard lock{mutex};
            const auto found = sent.find(request.field("attempt-id"));
            const auto isLate = instance == "i-2" && acknowledged && found != sent.end()
                             && found->second > *acknowledged + drain + margin;
            late += isLate ? 1 : 0;
            record.write("instance " + instance + " ran " + request.word(0) + " " + request.word(1) + ", id "
                         + request.field("attempt-id") + (isLate ? ": LATE, after its acknowledged leaving" : ""));
        };
    };
    const Node nodeA{first, folder};
    const Node nodeB{second, folder};
    Instance other{"j-1", second, ran("j-1"), Milliseconds{290}};
    other.startReports();
    auto former = std::make_unique<Instance>("i-1", first, ran("i-1"), Milliseconds{290});
    former->startReports();
    waitUntilServing(first, "/view/1");
    waitUntilServing(second, "/view/1");

    // Orders of clients on both machines, each on a connection of its own.
    std::atomic<bool> isOver{};
    std::size_t unanswered = 0;
    const auto client = [&](const Machine &machine) {
        while (!isOver) {
            const auto id = attemptId();
            {
                const std::lock_guard lock{mutex};
                sent[id] = SteadyClock::now();
            }
            const auto socket = connectTo(machine.callers(), Milliseconds{3500});
            const auto isSent =
                socket.fd() >= 0
                && sendAll(socket.fd(), requestHead("POST", "/order/1", id, 3000) + "Content-Length: 5\r\n\r\nbasic");
            const auto reply = isSent ? Reader{socket.fd()}.read() : std::nullopt;
            if (!reply || reply->status() == 502 || reply->status() == 504) {
                const std::lock_guard lock{mutex};
                ++unanswered;
                record.write("client on " + machine.name + " gets " + (reply ? reply->first : "nothing") + " for order "
                             + id);
            }
            std::this_thread::sleep_for(Milliseconds{60});
        }
    };
    std::vector<std::thread> clients;
    clients.emplace_back(client, first);
    clients.emplace_back(client, second);
    const auto endClients = [&] {
        isOver = true;
        for (auto &thread : clients) {
            thread.join();
        }
    };

    // A planned replacement: the former incarnation deregisters, serves on, and exits.
    std::this_thread::sleep_for(Milliseconds{1000});
    former->leave();
    const auto firstAck = former->deregister();
    record.write("i-1 deregisters: " + std::to_string(firstAck));
    std::this_thread::sleep_for(drain + Milliseconds{1500});
    former->end();
    record.write("i-1 has exited");

    // The next incarnation starts on the same machine. Its first status report is on the way for 3 s.
    std::this_thread::sleep_for(Milliseconds{500});
    auto next = std::make_unique<Instance>("i-2", first, ran("i-2"), Milliseconds{290});
    const auto early = next->nextReport();
    const auto started = SteadyClock::now();
    record.write("i-2 starts and sends its first status report (ready)");
    if (!hasTrouble) {
        record.write("it arrives at once: " + std::to_string(next->sendReport(early)));
    }
    std::this_thread::sleep_until(started + Milliseconds{1000});
    // It is taken away again before its second report is due, and never reports `draining`.
    next->leave();
    const auto status = next->deregister();
    {
        const std::lock_guard lock{mutex};
        acknowledged = SteadyClock::now();
    }
    record.write("i-2 deregisters: " + std::to_string(status));
    std::this_thread::sleep_until(started + Milliseconds{3000});
    if (hasTrouble) {
        record.write("the first status report of i-2 arrives: " + std::to_string(next->sendReport(early)));
    }
    // It goes on serving for some seconds, and exits.
    std::this_thread::sleep_until(started + Milliseconds{8000});
    next->end();
    record.write("i-2 has exited");
    std::this_thread::sleep_for(Milliseconds{1000});
    endClients();
    if (firstAck != 200 || status != 200) {
        throw CannotRun{"a deregistration got no ack"};
    }
    record.write(std::to_string(late) + " requests that were sent later than drain after the ack ran at i-2; "
                 + std::to_string(unanswered) + " orders ended with 502, 504 or no answer");
    return late == 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return review::runCase(argc, argv, play);
}

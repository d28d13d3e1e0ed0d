// A node is stopped while requests that it has taken wait for a slot beside another node; it cuts them off.
#include "support/stand_in.h"

namespace {

using namespace review;

constexpr double grace = 6.0;
constexpr double lostSlack = 0.2;
constexpr int deadlineMs = 5000; // and the route's timeout
constexpr int clients = 72;
constexpr double perSecond = 12.0;

auto play(Record &record, const bool isTroubled) -> int
{
    const Folder folder;
    const Network network;
    auto &store = *new Store{network.ip(9), 8545};
    store.put("op/config",
              configuration("00000001",
                            {route("/o/", "non_idempotent", "orders", "5000ms", true),
                             service("front"),
                             service("orders"),
                             tenant("club", {"key-club"})}));
    const auto address = network.ip(9) + ":8545";
    Node entry{record, "entry", network.ip(1), "front", address, folder.path()};
    Node back{record, "back", network.ip(2), "orders", address, folder.path()};
    auto &front = *new Instance{record, {.id = "i-front", .service = "front", .ip = entry.ip(), .control = entry.ip()}};
    auto &orders = *new Instance{
        record, {.id = "i-orders", .service = "orders", .ip = back.ip(), .control = back.ip(), .slots = 4}};
    orders.work = [](const Message &) {
        return 0.5;
    };
    entry.start();
    back.start();
    front.startReports();
    orders.startReports();
    if (!waitUntil([&] { return entry.isReady() && back.isReady(); }, 10.0)) {
        throw std::runtime_error{"the nodes aren't ready"};
    }
    sleepFor(4.0);

    // Twelve requests a second arrive all the while; the instance runs six to eight a second.
    std::atomic<bool> isOver{};
    std::atomic<int> misses{};
    std::atomic<int> checks{};
    std::atomic<int> number{};
    std::mutex mutex;
    std::map<std::string, Reply> replies;
    std::vector<std::thread> threads;
    for (auto index = 0; index < clients; ++index) {
        threads.emplace_back([&, index] {
            Client client{record, entry.ip()};
            sleepFor(index / perSecond);
            // After two missed checks of its readiness the clients of a machine receive no new work.
            while (!isOver && misses < 2) {
                const auto attempt = "order-" + std::to_string(++number);
                const auto start = seconds();
                auto reply = client.send({.attempt = attempt,
                                          .method = "POST",
                                          .target = "/o/1",
                                          .key = "",
                                          .deadlineMs = deadlineMs,
                                          .body = "one map"});
                {
                    const std::lock_guard lock{mutex};
                    replies[attempt] = std::move(reply);
                }
                sleepFor(std::max(0.0, start + clients / perSecond - seconds()));
            }
        });
    }
    std::thread platform{[&] {
        while (!isOver) {
            misses = entry.isReady() ? 0 : misses + 1;
            ++checks;
            sleepFor(1.0);
        }
    }};
    sleepFor(10.0);
    // The stop comes a moment after a check, so that the second miss is seen two seconds later.
    const auto before = checks.load();
    waitUntil([&] { return checks > before; }, 2.0);
    const auto stoppedAt = seconds();
    if (isTroubled) {
        entry.signal(SIGTERM);
        if (!entry.waitEnd(grace)) {
            entry.signal(SIGKILL);
            entry.waitEnd(1.0);
        }
        sleepFor(0.5);
    } else {
        sleepFor(grace + 0.5);
    }
    isOver = true;
    for (auto &thread : threads) {
        thread.join();
    }
    platform.join();

    std::map<std::string, double> ranAt;
    for (const auto &run : orders.runs()) {
        ranAt.emplace(run.attempt, run.at);
    }
    auto answered = 0;
    auto lost = 0;
    for (const auto &[attempt, reply] : replies) {
        answered += reply.status() == 200 ? 1 : 0;
        const auto lasted = reply.endedAt - reply.sentAt;
        const auto run = ranAt.find(attempt);
        const auto wasAtWork = run != ranAt.end() && run->second < reply.endedAt;
        const auto isNearStop = reply.endedAt > stoppedAt && reply.endedAt < stoppedAt + grace + 1.0;
        if (reply.end == Reply::End::Closed && isNearStop && lasted > lostSlack && lasted < deadlineMs / 1000.0
            && !wasAtWork) {
            ++lost;
            std::array<char, 128> text{};
            std::snprintf(text.data(),
                          text.size(),
                          "sent %.2f s after the SIGTERM, cut %.2f s after it, no instance at work on it",
                          reply.sentAt - stoppedAt,
                          reply.endedAt - stoppedAt);
            record.write("LOST: " + attempt + ' ' + text.data());
        }
    }
    record.write("answered with success: " + std::to_string(answered) + ", lost: " + std::to_string(lost));
    return answered == 0 ? 2 : lost > 0 ? 1 : 0;
}

} // namespace

auto main(int, char **arguments) -> int
{
    std::_Exit(review::runCase(arguments[1], play));
}

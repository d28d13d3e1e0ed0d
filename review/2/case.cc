// An instance leaves, its node is stopped and started again, and a status report of the instance arrives late.
#include "support/stand_in.h"

namespace {

using namespace review;

constexpr double drainTime = 2.0;
constexpr double exitTime = 5.5; // it serves on for `drain` and "at times many seconds"
constexpr int clients = 8;

auto play(Record &record, const bool isTroubled) -> int
{
    const Folder folder;
    const Network network;
    auto &store = *new Store{network.ip(9), 8545};
    store.put("op/config",
              configuration("00000001",
                            {route("/o/", "non_idempotent", "orders", "1500ms"),
                             service("front"),
                             service("orders"),
                             tenant("club", {"key-club"})}));
    const auto address = network.ip(9) + ":8545";
    Node entry{record, "entry", network.ip(1), "front", address, folder.path()};
    Node leaver{record, "leaver", network.ip(2), "orders", address, folder.path()};
    Node stayer{record, "stayer", network.ip(3), "orders", address, folder.path()};
    auto &front = *new Instance{record, {.id = "i-front", .service = "front", .ip = entry.ip(), .control = entry.ip()}};
    auto &leaving =
        *new Instance{record, {.id = "i-leaving", .service = "orders", .ip = leaver.ip(), .control = leaver.ip()}};
    auto &staying =
        *new Instance{record, {.id = "i-staying", .service = "orders", .ip = stayer.ip(), .control = stayer.ip()}};
    for (auto *node : {&entry, &leaver, &stayer}) {
        node->start();
    }
    for (auto *instance : {&front, &leaving, &staying}) {
        instance->startReports();
    }
    if (!waitUntil([&] { return entry.isReady() && leaver.isReady() && stayer.isReady(); }, 10.0)) {
        throw std::runtime_error{"the nodes aren't ready"};
    }
    for (auto *instance : {&leaving, &staying}) {
        instance->work = [](const Message &) {
            return 0.8;
        };
    }
    sleepFor(5.0);
    const auto sendOrders = [&](const std::string &name, const double time) {
        std::mutex mutex;
        std::map<std::string, Reply> replies;
        std::vector<std::thread> threads;
        const auto end = seconds() + time;
        for (auto index = 0; index < clients; ++index) {
            threads.emplace_back([&, index] {
                Client client{record, entry.ip()};
                for (auto count = 0; seconds() < end; ++count) {
                    const auto attempt = name + "-" + std::to_string(index) + "-" + std::to_string(count);
                    auto reply =
                        client.send({.attempt = attempt, .method = "POST", .target = "/o/1", .body = "one map"});
                    if (const auto retryAfter = reply.answer.find("Retry-After")) {
                        sleepFor(std::stod(*retryAfter));
                    }
                    const std::lock_guard lock{mutex};
                    replies[attempt] = std::move(reply);
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        return replies;
    };
    const auto before = sendOrders("before", 2.0);
    if (!std::ranges::all_of(before, [](const auto &entryOf) { return entryOf.second.status() == 200; })) {
        throw std::runtime_error{"no service before the departure"};
    }

    // A report of the state of now is under way and arrives seconds late.
    leaving.sendsReports = false;
    const auto late = ++leaving.sequence;
    const auto lateBody = leaving.reportBody(late, "ready");
    record.write("i-leaving sends report " + std::to_string(late) + " (ready); it will arrive late");
    const auto lateSentAt = seconds();
    sleepFor(0.2);
    leaving.isLeaving = true;
    const auto status = leaving.call("/v1/Instances.Deregister/i-leaving", Json{{"born", leaving.born()}}.dump());
    const auto acknowledgedAt = seconds();
    record.write("i-leaving deregisters: " + std::to_string(status));
    if (status != 200) {
        return 2;
    }
    sleepFor(0.3);
    if (isTroubled) {
        // The node is stopped and started again on its own, while the instance next to it continues running.
        leaver.signal(SIGTERM);
        if (!leaver.waitEnd(6.5)) {
            leaver.kill();
        }
        sleepFor(0.3);
        leaver.start();
        if (!waitUntil([&] { return leaver.isReady(); }, 5.0)) {
            throw std::runtime_error{"the node isn't ready again"};
        }
    } else {
        sleepFor(4.0);
    }
    sleepFor(std::max(0.0, lateSentAt + 5.0 - seconds()));
    const auto lateStatus = leaving.call("/v1/Instances.Heartbeat/i-leaving", lateBody);
    std::array<char, 64> lag{};
    std::snprintf(lag.data(), lag.size(), "%.1f s late: %d", seconds() - lateSentAt, lateStatus);
    record.write(std::string{"report "} + std::to_string(late) + " of i-leaving arrives " + lag.data());
    std::thread platform{[&] {
        sleepFor(acknowledgedAt + exitTime - seconds());
        leaving.exit();
    }};
    const auto replies = sendOrders("after", 2.5);
    platform.join();
    auto after = 0;
    for (const auto &[attempt, reply] : replies) {
        after += reply.status() == 200 ? 1 : 0;
    }

    // DRAIN: a request reaches an instance later than `drain` after the ack of its leaving.
    auto reached = 0;
    for (const auto &run : leaving.runs()) {
        if (run.at > acknowledgedAt + drainTime) {
            ++reached;
            std::array<char, 64> age{};
            std::snprintf(age.data(), age.size(), "%.1f", run.at - acknowledgedAt);
            record.write("DRAIN: " + run.attempt + " reached i-leaving " + age.data()
                         + " s after the ack; its client got " + replies.at(run.attempt).toText());
        }
    }
    record.write("orders after the departure: " + std::to_string(replies.size())
                 + ", answered with success: " + std::to_string(after) + ", at i-leaving: " + std::to_string(reached));
    return reached > 0 ? 1 : after == 0 ? 2 : 0;
}

} // namespace

auto main(int, char **arguments) -> int
{
    std::_Exit(review::runCase(arguments[1], play));
}

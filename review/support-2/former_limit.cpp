// Review case 8: a kept connection handles its next request under the limits of a former config.

#include "kit.hpp"

namespace {

using namespace review;

constexpr int formerLimit = 1 << 20;
constexpr int newLimit = 8 << 20;
constexpr std::size_t clients = 30;
constexpr std::size_t uploadBytes = std::size_t{2} << 20;

auto post(const Machine &machine, const Socket &socket, const std::string &body, const std::string &id) -> int
{
    sendAll(socket.fd(),
            requestHead("POST", "/upload/1", id, 3000) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    // A refusal may come before the body is in.
    sendAll(socket.fd(), body);
    const auto reply = Reader{socket.fd()}.read();
    static_cast<void>(machine);
    return reply ? reply->status() : 0;
}

auto play(Record &record, const std::filesystem::path &folder, const bool hasTrouble) -> bool
{
    const auto routes = std::vector<Json>{route("upload", "/upload/", "non_idempotent", "archivos"),
                                          route("view", "/view/", "idempotent", "archivos")};
    Store store;
    store.put("op/config", config(5, routes, {"archivos"}, hasTrouble ? formerLimit : newLimit));
    const Machine machine{"sidecar-a-1", "zone-a", "archivos", freePorts(1).front(), store.port()};
    std::atomic<std::size_t> runs{};
    Instance instance{"i-1", machine, [&](const Message &request) {
                          ++runs;
                          record.write("instance ran " + request.word(0) + " " + request.word(1) + ", id "
                                       + request.field("attempt-id") + ", body of "
                                       + std::to_string(request.body.size()) + " bytes");
                      }};
    const Node node{machine, folder};
    instance.startReports();
    waitUntilServing(machine, "/view/1");

    std::size_t requests = 0;
    std::vector<Socket> kept;
    for (std::size_t index = 0; index < clients; ++index) {
        kept.push_back(connectTo(machine.callers()));
        const auto status = post(machine, kept.back(), "small", attemptId());
        ++requests;
        if (status != 200) {
            throw CannotRun{"a small request is not served: " + std::to_string(status)};
        }
    }
    record.write(std::to_string(clients) + " clients have sent a small request and keep their connections");
    std::this_thread::sleep_for(Milliseconds{500});
    store.put("op/config", config(8, routes, {"archivos"}, newLimit));
    record.write("config 8 is acknowledged: max-body-bytes " + std::to_string(newLimit));
    // config-apply is 2 s; idle-timeout is 15 s, of which clients use up to four fifths.
    std::this_thread::sleep_for(Milliseconds{4000});

    const std::string upload(uploadBytes, 'u');
    {
        const auto fresh = connectTo(machine.callers());
        const auto id = attemptId();
        const auto status = post(machine, fresh, upload, id);
        ++requests;
        record.write("a new connection: upload " + id + " gets " + std::to_string(status));
        if (status != 200) {
            throw CannotRun{"the new config is not in force"};
        }
    }
    std::size_t denied = 0;
    for (const auto &socket : kept) {
        const auto id = attemptId();
        const auto status = post(machine, socket, upload, id);
        ++requests;
        const auto isDenied = status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
        denied += isDenied ? 1 : 0;
        record.write("a kept connection: upload " + id + " gets " + std::to_string(status)
                     + (isDenied ? ": DENIED, though the config in force allows it" : ""));
    }
    const auto allowed = 5 + requests / 500;
    record.write(std::to_string(denied) + " of " + std::to_string(requests) + " requests denied; the rule allows "
                 + std::to_string(allowed));
    return denied <= allowed;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return review::runCase(argc, argv, play);
}

// Case "coded": a client sends the body of an order in a transfer coding other than chunks. The node must refuse the
// request or pass the body on unchanged.
#include "common.hpp"

using namespace stage;

namespace {

struct Run {
    std::string id;
    std::string method;
    std::string body;
};

std::mutex mutex;
std::vector<Run> runs;

/*! @brief Body of an order: free text, in which somebody quotes a request. */
auto orderBody() -> std::string
{
    return "GET /leny950/quoted HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: quoted\r\nAuthorization: Bearer " + key
         + "\r\n\r\n";
}

auto headOf(const std::string &id, const std::string &framing) -> std::string
{
    return "POST /puka111/2f HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id
         + "\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer " + key + "\r\n" + framing + "\r\n\r\n";
}

} // namespace

auto main() -> int
{
    record.open("review/" + std::string{std::getenv("CASE")} + "/record.txt");
    Place place;
    Store store;
    std::vector<Machine> machines{place.machine(1, "a", "huvo11a")};
    if (!openStore(store, machines)) {
        finish(place, machines, 2, "no port");
    }
    std::unique_ptr<Instance> instance;
    instance = std::make_unique<Instance>(machines[0], "i-1", [&](const int fd, const Message &request) {
        {
            const std::lock_guard lock{mutex};
            runs.push_back({request.find("Attempt-Id"), request.word(0), request.body});
            note("instance runs " + request.start + ", id " + request.find("Attempt-Id") + ", body of "
                 + std::to_string(request.body.size()) + " bytes");
        }
        return sendAll(fd, instance->success(request, "done"));
    });
    if (!instance->open()) {
        finish(place, machines, 2, "no port for the instance");
    }
    store.put("op/config",
              configuration("00000007",
                            route("r1", "/leny950/", "idempotent", R"("timeout":"2000ms")") + ","
                                + route("r2", "/puka111/", "non_idempotent", R"("timeout":"2000ms")")));
    machines[0].startNode();
    if (!machines[0].waitReady(10) || !waitServing(machines[0], "/leny950/2f", 10)) {
        finish(place, machines, 2, "the node does not serve");
    }
    {
        const std::lock_guard lock{mutex};
        runs.clear();
    }
    const auto body = orderBody();
    char size[16];
    std::snprintf(size, sizeof size, "%zx", body.size());
    const auto chunked = std::string{size} + "\r\n" + body + "\r\n0\r\n\r\n";
    // Without trouble the same body arrives in chunks and with a length.
    const std::vector<std::pair<std::string, std::string>> orders =
        hasTrouble() ? std::vector<std::pair<std::string, std::string>>{{"Transfer-Encoding: gzip", body},
                                                                        {"Transfer-Encoding: identity", body},
                                                                        {"Transfer-Encoding: chunked, identity", body}}
                     : std::vector<std::pair<std::string, std::string>>{
                           {"Transfer-Encoding: chunked", chunked},
                           {"Content-Length: " + std::to_string(body.size()), body}};
    auto number = 0;
    for (const auto &[framing, bytes] : orders) {
        const auto id = "order-" + std::to_string(++number);
        note("client sends " + id + " with \"" + framing + "\" and a body of " + std::to_string(body.size()) + " bytes");
        const int fd = dial(machines[0].outbound());
        std::string buffer;
        sendAll(fd, headOf(id, framing) + bytes);
        for (int i = 0; i < 2; ++i) {
            if (const auto answer = readMessage(fd, buffer, 1.0)) {
                note("client gets " + answer->word(1) + " for id \"" + answer->find("Attempt-Id") + "\"");
            }
        }
        close(fd);
    }
    pause(0.5);
    const std::lock_guard lock{mutex};
    auto changed = 0;
    auto unasked = 0;
    for (const auto &run : runs) {
        unasked += run.id == "quoted" ? 1 : 0;
        changed += run.method == "POST" && run.body != body ? 1 : 0;
    }
    const auto seen = std::to_string(changed) + " of " + std::to_string(orders.size())
                    + " orders ran with another body than the client's; " + std::to_string(unasked)
                    + " requests ran that stood inside a body";
    finish(place, machines, changed + unasked > 0 ? 1 : 0, seen);
}

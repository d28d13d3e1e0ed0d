// Review case 6: a body whose transfer coding gives no length.

#include "kit.hpp"

namespace {

using namespace review;

struct Run {
    std::string line;
    std::string attempt;
    std::string body;
};

auto play(Record &record, const std::filesystem::path &folder, const bool hasTrouble) -> bool
{
    Store store;
    store.put("op/config",
              config(5,
                     {route("order", "/order/", "non_idempotent", "pedidos"),
                      route("view", "/view/", "idempotent", "pedidos"),
                      route("internal", "/internal/", "non_idempotent", "pedidos", true)},
                     {"pedidos"}));
    Machine machine{"sidecar-a-1", "zone-a", "pedidos", freePorts(1).front(), store.port()};
    std::mutex mutex;
    std::vector<Run> runs;
    Instance instance{
        "i-1", machine, [&](const Message &request) {
            const std::lock_guard lock{mutex};
            runs.push_back({request.word(0) + " " + request.word(1), request.field("attempt-id"), request.body});
        }};
    const Node node{machine, folder};
    instance.startReports();
    waitUntilServing(machine, "/view/1");
    {
        const std::lock_guard lock{mutex};
        runs.clear();
    }

    // The body of an order is what a visitor has uploaded; it looks like a request. The client sends one request a
    // connection and doesn't send the id that stands in the body.
    const std::vector<std::string> codings{"gzip", "identity", "xchunked", "chunked, identity"};
    std::size_t broken = 0;
    for (const auto &coding : codings) {
        const auto outer = attemptId();
        const auto inner = attemptId();
        const auto body = "POST /internal/refund HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + inner
                        + "\r\nContent-Length: 0\r\n\r\n";
        const auto framing = hasTrouble ? "Transfer-Encoding: " + coding + "\r\n"
                                        : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        record.write("client sends POST /order/1, id " + outer + ", " + framing.substr(0, framing.size() - 2)
                     + ", body of " + std::to_string(body.size()) + " bytes that holds the text of a request with id "
                     + inner);
        const auto socket = connectTo(machine.callers(), Milliseconds{2500});
        if (socket.fd() < 0
            || !sendAll(socket.fd(), requestHead("POST", "/order/1", outer, 2000) + framing + "\r\n" + body)) {
            throw CannotRun{"the client cannot send"};
        }
        Reader reader{socket.fd()};
        const auto first = reader.read();
        record.write("client gets " + (first ? first->first : std::string{"no answer"}));
        // The client waits for its answer only; what else comes is noted.
        std::this_thread::sleep_for(Milliseconds{500});
        const std::lock_guard lock{mutex};
        for (const auto &run : runs) {
            const auto isSmuggled = run.attempt != outer;
            const auto isChanged = !isSmuggled && run.body != body;
            record.write("instance ran " + run.line + ", id " + run.attempt + ", body of "
                         + std::to_string(run.body.size()) + " bytes"
                         + (isSmuggled ? ": SMUGGLED, no client sent this id as a request's" : "")
                         + (isChanged ? ": BODY CHANGED" : ""));
            broken += isSmuggled ? 1 : 0;
        }
        if (!hasTrouble && (runs.size() != 1 || !first || first->status() != 200)) {
            throw CannotRun{"an order with a length is not served"};
        }
        runs.clear();
    }
    record.write(std::to_string(broken) + " smuggled requests ran");
    return broken == 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    return review::runCase(argc, argv, play);
}

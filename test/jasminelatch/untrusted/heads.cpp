#include "site.hpp"

namespace jasminelatch::sidecar {

namespace {

/*! @brief Port that a node listens on. */
struct Port {
    const char *name;
    event::Endpoint NodeProcess::*endpoint;
};

struct EndlessHeads: Site, testing::WithParamInterface<Port> {
};

auto chunkedHead() -> std::string
{
    return headOf("POST /o/1", "Transfer-Encoding: chunked\r\n\r\n");
}

/*! @brief Returns four bytes of a frame length. */
auto lengthOf(const std::size_t length) -> std::string
{
    std::string text;
    for (const auto shift : {24U, 16U, 8U, 0U}) {
        text.push_back(static_cast<char>((length >> shift) & 0xffU));
    }
    return text;
}

/*! @brief Returns what the clients send; each runs on without end or stays open unfinished. */
auto scripts() -> std::vector<std::function<UntrustedClient::Script()>>
{
    using Script = UntrustedClient::Script;
    constexpr std::size_t frameBody = std::size_t{79} << 20;
    constexpr std::size_t frameHead = std::size_t{15} << 20;
    return {
        [] {
            return Script{"GET /m/", "xxxxxxxxxxxxxxxx"};
        },
        [] {
            return Script{"GET /m/1 HTTP/1.1\r\n", {}};
        },
        [] {
            return Script{headOf("GET /m/1"), "X-Field: value\r\n"};
        },
        [] {
            return Script{headOf("GET /m/1") + "X: ", "xxxxxxxxxxxxxxxx"};
        },
        [] {
            return Script{headOf("GET /m/1") + "X: " + std::string(100'000, 'x') + "\r\n\r\n", {}};
        },
        [] {
            return Script{{}, "\r\n"};
        },
        [] {
            return Script{chunkedHead() + "5;", "xxxxxxxxxxxxxxxx"};
        },
        [] {
            return Script{chunkedHead() + "5\r\nabcde\r\n0\r\n", "X-Field: value\r\n"};
        },
        [] {
            return Script{chunkedHead() + "5\r\nabcde\r\n0\r\nX: ", "xxxxxxxxxxxxxxxx"};
        },
        // Frames between nodes: one without end, and a head that decodes to many values.
        [=] {
            return Script{lengthOf(16) + lengthOf(frameBody), "xxxxxxxxxxxxxxxx"};
        },
        [=] {
            return Script{lengthOf(frameBody) + lengthOf(0), "xxxxxxxxxxxxxxxx"};
        },
        [=] {
            return Script{lengthOf(frameHead) + lengthOf(0) + '\x9a' + lengthOf(frameHead - 5), std::string(16, '\0')};
        }};
}

} // namespace

TEST_P(EndlessHeads, StayWithinMemory)
{
    // Guards against heads, empty lines, chunk extensions, trailers and frames that grow without end in a node's
    // buffers.
    start(false);
    for (const auto &script : scripts()) {
        join(back().*GetParam().endpoint, script, 6);
    }
    runCrowd(3s);
    expectHealthy();
}

INSTANTIATE_TEST_SUITE_P(Untrusted,
                         EndlessHeads,
                         testing::Values(Port{"Callers", &NodeProcess::callers},
                                         Port{"Peers", &NodeProcess::peers},
                                         Port{"Reports", &NodeProcess::reports},
                                         Port{"Readiness", &NodeProcess::ready},
                                         Port{"Metrics", &NodeProcess::metrics}),
                         [](const auto &tested) { return tested.param.name; });

} // namespace jasminelatch::sidecar

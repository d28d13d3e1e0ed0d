#include <jasminelatch/node/core.hpp>
#include <jasminelatch/wire/codec.hpp>

#include <gtest/gtest.h>

#include <cstddef>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace std::chrono_literals;

namespace jasminelatch::node {

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr int mutationsOfEach = 400;

/*! @brief Adds one message of each alternative of a module. */
template<typename Module, std::size_t Index = 0>
auto addAlternatives(std::vector<std::string> &samples) -> void
{
    if constexpr (Index < std::variant_size_v<Module>) {
        const auto bytes = wire::encode(Module{std::variant_alternative_t<Index, Module>{}});
        samples.emplace_back(bytes.begin(), bytes.end());
        addAlternatives<Module, Index + 1>(samples);
    }
}

template<std::size_t Index = 0>
auto addModules(std::vector<std::string> &samples) -> void
{
    if constexpr (Index < std::variant_size_v<wire::Message>) {
        addAlternatives<std::variant_alternative_t<Index, wire::Message>>(samples);
        addModules<Index + 1>(samples);
    }
}

auto makeSettings() -> Settings
{
    Settings settings;
    settings.address = NodeAddress{"127.0.0.1:1"};
    settings.domain = FailureDomain{"d"};
    settings.service = ServiceName{"s"};
    settings.fleetSecret = "secret";
    return settings;
}

auto makeHooks() -> Core::Hooks
{
    Core::Hooks hooks;
    hooks.store = [](const store::Request &, const store::Callback &) {
    };
    hooks.send = [](const NodeAddress &, const std::string &) {
    };
    hooks.reopen = [](const NodeAddress &) {
    };
    hooks.callBackend = [](const call::BackendCall &) {
    };
    hooks.cancelBackend = [](const RequestId &) {
    };
    hooks.answer = [](DoorNumber, const net::HttpResponse &) {
    };
    return hooks;
}

auto mutate(std::string text, std::mt19937_64 &random) -> std::string
{
    const auto changes = 1 + random() % 4;
    for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
        const auto position = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[position] = static_cast<char>(random());
            break;
        case 1:
            text[position] = static_cast<char>(text[position] ^ (1 << (random() % 8)));
            break;
        case 2:
            text.resize(position);
            break;
        default:
            text.insert(position, 1, static_cast<char>(random()));
            break;
        }
    }
    return text;
}

} // namespace

TEST(Core, GoesOnAfterMalformedMessages)
{
    Clock clock;
    clock.pause();
    Core core{makeSettings(), 1, clock, makeHooks()};
    core.start();
    std::vector<std::string> samples;
    addModules(samples);
    ASSERT_GT(samples.size(), 20U);
    std::mt19937_64 random{seed};
    const NodeAddress peer{"127.0.0.1:2"};
    for (const auto &sample : samples) {
        for (int count = 0; count < mutationsOfEach; ++count) {
            core.receive(peer, mutate(sample, random));
        }
        clock.advance(20ms);
        core.tick();
    }
    EXPECT_GT(core.counters().value("wire.malformed"), samples.size() * mutationsOfEach / 4);
    EXPECT_EQ(core.status().at("configuration_revision"), 0);
}

TEST(Core, TellsNobodyOfItsBackendServerBeforeItHasRecords)
{
    // A node that has just started beside a running backend server: orders sent there failed, since the node refused
    // the calls that they made. Here the store does not answer, so that no records come.
    Clock clock;
    clock.pause();
    Core core{makeSettings(), 1, clock, makeHooks()};
    core.start();
    core.announce({"http://127.0.0.1:3", 10, 20, membership::EndpointState::Ready});
    EXPECT_EQ(core.status().at("backend_server"), true);
    EXPECT_EQ(core.status().at("announced"), false);
}

} // namespace jasminelatch::node

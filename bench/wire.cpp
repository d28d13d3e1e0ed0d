#include <jasminelatch/wire/codec.hpp>

#include <benchmark/benchmark.h>

#include <string>

namespace {

namespace jl = jasminelatch;

auto attempt(const std::size_t bodyBytes) -> jl::wire::Message
{
    jl::call::Attempt attempt;
    attempt.id = jl::RequestId{"6f1d2c3b4a5968778695a4b3c2d1e0ff"};
    attempt.root = jl::RequestId{"0f1d2c3b4a5968778695a4b3c2d1e0aa"};
    attempt.ledger = jl::NodeAddress{"10.11.12.13:7000"};
    attempt.service = jl::ServiceName{"inventory"};
    attempt.account = jl::AccountName{"member-0042"};
    attempt.remaining = std::chrono::seconds{2};
    attempt.method = "POST";
    attempt.path = "/stock/check?route=17";
    attempt.headers["Content-Type"] = "application/json";
    attempt.body = nlohmann::json::binary_t{std::vector<std::uint8_t>(bodyBytes, 'x')};
    return jl::call::Message{attempt};
}

auto encodeAttempt(benchmark::State &state) -> void
{
    const auto message = attempt(static_cast<std::size_t>(state.range(0)));
    std::size_t bytes{};
    for (auto step : state) {
        const auto encoded = jl::wire::encode(message);
        bytes = encoded.size();
        benchmark::DoNotOptimize(encoded.data());
    }
    state.counters["message_bytes"] = static_cast<double>(bytes);
}

auto decodeAttempt(benchmark::State &state) -> void
{
    const auto encoded = jl::wire::encode(attempt(static_cast<std::size_t>(state.range(0))));
    for (auto step : state) {
        auto message = jl::wire::decode(encoded);
        benchmark::DoNotOptimize(message);
    }
}

BENCHMARK(encodeAttempt)->Arg(0)->Arg(1024)->Arg(4096)->Arg(16384)->Arg(65536);
BENCHMARK(decodeAttempt)->Arg(0)->Arg(1024)->Arg(4096)->Arg(16384)->Arg(65536);

auto connectionMessages(benchmark::State &state) -> void
{
    const jl::wire::Message ping = jl::connection::Message{jl::connection::Ping{1'000'000}};
    const jl::wire::Message pong = jl::connection::Message{jl::connection::Pong{1'000'000, 1ULL << 60U}};
    for (auto step : state) {
        benchmark::DoNotOptimize(jl::wire::encode(ping).size() + jl::wire::encode(pong).size());
    }
    state.counters["ping_bytes"] = static_cast<double>(jl::wire::encode(ping).size());
    state.counters["pong_bytes"] = static_cast<double>(jl::wire::encode(pong).size());
}

BENCHMARK(connectionMessages);

} // namespace

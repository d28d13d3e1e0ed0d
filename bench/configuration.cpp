#include "heap.hpp"

#include <jasminelatch/configuration/key.hpp>
#include <jasminelatch/configuration/view.hpp>

#include <benchmark/benchmark.h>

#include <memory>
#include <string>

namespace {

namespace jl = jasminelatch;
namespace configuration = jasminelatch::configuration;

constexpr auto secret = "0123456789012345678901234567890123456789012";

auto keyId(const std::int64_t number) -> std::string
{
    const auto digits = std::to_string(number);
    return std::string(12 - digits.size(), 'k') + digits;
}

auto document(const std::string &type, const std::string &name, const nlohmann::json &fields) -> jl::record::Document
{
    nlohmann::json json = fields;
    json["schema"] = 1;
    json["record"] = type;
    json["name"] = name;
    return {{type, name}, json.dump()};
}

auto accountDocument(const std::int64_t number, const double rate) -> jl::record::Document
{
    return document("account", "account-" + std::to_string(number), {{"rate", rate}, {"burst", 20}});
}

/*! @brief Records in equal parts: accounts, their keys, request kinds. */
auto changeSet(const std::int64_t records) -> configuration::ChangeSet
{
    configuration::ChangeSet change;
    change.revision = 1;
    const auto hash = configuration::hashSecret(secret);
    for (std::int64_t i = 0; i < records / 3; ++i) {
        const auto number = std::to_string(i);
        change.upserts.push_back(accountDocument(i, 10));
        change.upserts.push_back(document("key", keyId(i), {{"hash", hash}, {"account", "account-" + number}}));
        change.upserts.push_back(document("kind",
                                          "kind-" + number,
                                          {{"service", "service-" + std::to_string(i % 780)},
                                           {"method", "GET"},
                                           {"path", "/part-" + number},
                                           {"importance", i % 4}}));
    }
    return change;
}

auto applyChange(benchmark::State &state) -> void
{
    const auto records = state.range(0);
    const auto change = changeSet(records);
    const auto before = jasminelatch::bench::heapBytes();
    auto view = std::make_unique<configuration::View>(configuration::View{}.after(change));
    const auto perRecord = (jasminelatch::bench::heapBytes() - before) / static_cast<double>(records);
    configuration::ChangeSet next;
    double rate{10};
    for (auto round : state) {
        next.revision = view->revision() + 1;
        rate += 1;
        next.upserts = {accountDocument(7, rate)};
        view = std::make_unique<configuration::View>(view->after(next));
    }
    double snapshotBytes{};
    const auto parts = view->snapshot(configuration::maxPartBytes);
    for (const auto &part : parts) {
        snapshotBytes += static_cast<double>(nlohmann::json(part).dump().size());
    }
    state.counters["heap_bytes_per_record"] = perRecord;
    state.counters["snapshot_bytes_per_record"] = snapshotBytes / static_cast<double>(records);
    state.counters["snapshot_parts"] = static_cast<double>(parts.size());
    state.counters["change_bytes"] = static_cast<double>(nlohmann::json(next).dump().size());
}

auto authenticate(benchmark::State &state) -> void
{
    const auto view = configuration::View{}.after(changeSet(state.range(0)));
    std::int64_t number{};
    std::uint64_t ok{};
    for (auto round : state) {
        const auto check = view.authenticate("jl_" + keyId(number % (state.range(0) / 3)) + "_" + secret);
        ok += check.state == configuration::KeyState::Ok ? 1U : 0U;
        ++number;
    }
    state.counters["ok_share"] = static_cast<double>(ok) / static_cast<double>(number);
}

auto findKind(benchmark::State &state) -> void
{
    const auto view = configuration::View{}.after(changeSet(state.range(0)));
    const auto kinds = state.range(0) / 3;
    std::int64_t number{};
    std::uint64_t found{};
    for (auto round : state) {
        const auto kind = number % kinds;
        const auto *result = view.findKind(
            "GET", jl::ServiceName{"service-" + std::to_string(kind % 780)}, "/part-" + std::to_string(kind) + "/x");
        found += result != nullptr ? 1U : 0U;
        ++number;
    }
    state.counters["found_share"] = static_cast<double>(found) / static_cast<double>(number);
}

BENCHMARK(applyChange)->ArgName("records")->RangeMultiplier(2)->Range(1024, 16384)->Unit(benchmark::kMicrosecond);
BENCHMARK(authenticate)->ArgName("records")->RangeMultiplier(2)->Range(1024, 16384);
BENCHMARK(findKind)->ArgName("records")->RangeMultiplier(2)->Range(1024, 16384);

} // namespace

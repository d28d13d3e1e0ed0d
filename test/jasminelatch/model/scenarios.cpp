#include "scenarios.hpp"

namespace jasminelatch::model::test {

namespace {

using namespace std::chrono_literals;

auto service(const std::string &name, const std::uint32_t slots) -> ServiceModel
{
    return {name, {{slots, 0.6}, {slots, 1.0}, {slots, 1.4}}};
}

auto kind(const std::string &name, const std::string &service, const double perSecond, const Duration work) -> KindModel
{
    KindModel kind;
    kind.name = name;
    kind.service = service;
    kind.perSecond = perSecond;
    kind.work = work;
    kind.latencyTarget = 1s;
    kind.timeout = 4s;
    return kind;
}

} // namespace

auto shop(const double factor, const Duration length) -> Scenario
{
    Scenario scenario;
    scenario.name = "shop";
    scenario.length = length;
    scenario.services = {
        service("catalogue", 70), service("orders", 70), service("payments", 70), service("stock", 17)};
    auto browse = kind("browse", "catalogue", 100 * factor, 90ms);
    browse.priority = 2;
    browse.calls = {{"status", 2}};
    auto order = kind("order", "orders", 38 * factor, 120ms);
    order.isIdempotent = false;
    order.maxAttempts = 2;
    order.calls = {{"payment", 2}};
    auto charge = kind("charge", "payments", 38 * factor, 63ms);
    charge.isIdempotent = false;
    charge.maxAttempts = 2;
    auto level = kind("level", "stock", 29 * factor, 360ms);
    level.priority = 2;
    level.spread = 0.3;
    auto status = kind("status", "orders", 0, 15ms);
    status.calls = {{"payment", 1}};
    auto payment = kind("payment", "payments", 0, 15ms);
    payment.calls = {{"packing", 4}};
    scenario.kinds = {browse, order, charge, level, status, payment, kind("packing", "stock", 0, 22ms)};
    return scenario;
}

} // namespace jasminelatch::model::test

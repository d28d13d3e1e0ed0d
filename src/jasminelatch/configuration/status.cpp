#include "status.hpp"

#include <charconv>

namespace jasminelatch::configuration {

auto to_json(nlohmann::json &out, const NodeStatus &status) -> void
{
    out = {{"address", status.address},
           {"configuration_revision", status.revision},
           {"configuration_fresh", status.fresh},
           {"configuration_unreadable", status.unreadable}};
}

auto from_json(const nlohmann::json &in, NodeStatus &status) -> void
{
    in.at("address").get_to(status.address);
    in.at("configuration_revision").get_to(status.revision);
    in.at("configuration_fresh").get_to(status.fresh);
    status.unreadable = in.value("configuration_unreadable", std::vector<record::Id>{});
}

auto operatorAddress(const NodeAddress &node) -> std::string
{
    const auto &text = node.text();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {};
    }
    unsigned port = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return {};
    }
    return text.substr(0, colon + 1) + std::to_string(port + 1);
}

} // namespace jasminelatch::configuration

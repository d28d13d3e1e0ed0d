#include "doors.hpp"

#include <utility>

namespace jasminelatch::node {

auto Doors::add(const DoorNumber from, net::Responder responder) -> void
{
    responders_.insert_or_assign({from.door, from.number}, std::move(responder));
}

auto Doors::answer(const DoorNumber to, net::HttpResponse response) -> void
{
    const auto position = responders_.find({to.door, to.number});
    if (position == responders_.end()) {
        return;
    }
    const auto responder = std::move(position->second);
    responders_.erase(position);
    responder(std::move(response));
}

} // namespace jasminelatch::node

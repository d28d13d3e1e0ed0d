#include "view.hpp"

#include "hash.hpp"

#include <algorithm>

namespace jasminelatch::membership::internal {

auto View::subscribe(const ServiceName &service) -> bool
{
    return services_.try_emplace(service, ServiceView{service, 0, {}}).second;
}

auto View::apply(const Changes &changes) -> Touched
{
    Touched touched;
    for (const auto &service : changes.services) {
        const auto position = services_.find(service.service);
        if (position == services_.end() || position->second.version == service.version) {
            continue;
        }
        position->second = service;
        touched.services.push_back(service.service);
    }
    if (changes.directory && changes.directory->version != directory_.version) {
        directory_ = *changes.directory;
        touched.directory = true;
    }
    if (changes.assignment) {
        assignment_ = *changes.assignment;
    }
    return touched;
}

auto View::drop(const NodeAddress &node) -> Touched
{
    Touched touched;
    for (auto &[name, view] : services_) {
        const auto removed = std::erase_if(view.endpoints, [&](const Endpoint &entry) { return entry.node == node; });
        if (removed > 0) {
            view.version = versionOf(view.endpoints);
            touched.services.push_back(name);
        }
    }
    return touched;
}

auto View::endpoints(const ServiceName &service) const -> std::span<const Endpoint>
{
    const auto position = services_.find(service);
    if (position == services_.end()) {
        return {};
    }
    return position->second.endpoints;
}

auto View::holderOf(const LeaseName &right) const -> std::optional<NodeAddress>
{
    const auto position = std::ranges::lower_bound(directory_.rights, right, {}, &RightHolder::right);
    if (position == directory_.rights.end() || position->right != right) {
        return {};
    }
    return position->holder;
}

auto View::services() const -> std::vector<ServiceVersion>
{
    std::vector<ServiceVersion> versions;
    for (const auto &[name, view] : services_) {
        versions.push_back({name, view.version});
    }
    return versions;
}

auto View::version() const -> ContentVersion
{
    return versionOf(services(), directory_.version, assignment_.version);
}

} // namespace jasminelatch::membership::internal

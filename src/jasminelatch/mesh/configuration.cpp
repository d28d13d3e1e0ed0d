#include "configuration.hpp"

#include <boost/algorithm/string/case_conv.hpp>

#include <algorithm>
#include <utility>

namespace jasminelatch::mesh {

ConfigurationIndex::ConfigurationIndex(Configuration configuration)
    : configuration_{std::move(configuration)}
{
    for (const auto &route : configuration_.routes) {
        routes_[boost::algorithm::to_lower_copy(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : routes_) {
        std::ranges::stable_sort(routes, std::greater{}, [](const Route *route) { return route->prefix.size(); });
    }
    for (const auto &account : configuration_.accounts) {
        for (const auto &key : account.keys) {
            accounts_.emplace(key, &account);
        }
    }
}

auto ConfigurationIndex::findRoute(const std::string_view host, const std::string_view target) const -> const Route *
{
    const auto name = boost::algorithm::to_lower_copy(std::string{host.substr(0, host.find(':'))});
    const auto found = routes_.find(name);
    if (found == routes_.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find_first_of("?#"));
    const auto matches = [&](const Route *route) {
        return path.starts_with(route->prefix);
    };
    const auto route = std::ranges::find_if(found->second, matches);
    return route == found->second.end() ? nullptr : *route;
}

auto ConfigurationIndex::findAccount(const std::string_view key) const -> const Account *
{
    const auto found = accounts_.find(key);
    return found == accounts_.end() ? nullptr : found->second;
}

auto ConfigurationIndex::findService(const std::string_view name) const -> const Service *
{
    const auto found = std::ranges::find(configuration_.services, name, &Service::name);
    return found == configuration_.services.end() ? nullptr : &*found;
}

auto ConfigurationIndex::configuration() const noexcept -> const Configuration &
{
    return configuration_;
}

} // namespace jasminelatch::mesh

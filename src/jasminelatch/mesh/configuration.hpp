#ifndef JASMINELATCH_MESH_CONFIGURATION_HPP
#define JASMINELATCH_MESH_CONFIGURATION_HPP

#include <jasminelatch/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasminelatch::mesh {

/*! @brief Target service of a route with its share of the route's requests. */
struct WeightedService {
    std::string service; /*!< Name of the service. */
    std::uint32_t weight{}; /*!< Weight relative to the other services of the route. */
};

/*! @brief Routing rule for requests of one host and path prefix. */
struct Route {
    std::string name; /*!< Unique name. */
    std::string host; /*!< Host name of the request, matched without regard to case and port. */
    std::string prefix; /*!< Path prefix; begins and ends with a slash. */
    std::vector<WeightedService> services; /*!< Candidate services; never empty. */
    bool idempotent{}; /*!< Whether requests may safely be executed more than once. */
    bool download{}; /*!< Whether responses are large downloads. */
    bool open{}; /*!< Whether requests need no API key. */
    Duration timeout{}; /*!< Maximum time until the caller gets a response. */
    Duration latencyTarget{}; /*!< Response time up to which a response counts as fully useful. */
    std::uint32_t maxAttempts{1}; /*!< Maximum number of instances that one client attempt may be sent to. */
    std::uint32_t priority{}; /*!< Priority; zero is the highest. */
};

/*! @brief Configuration of a service. */
struct Service {
    std::string name; /*!< Unique name. */
    std::string healthPath; /*!< Health check path of the instances. */
    Duration coldStart{}; /*!< Time for which an instance is cold after its start. */
    double coldRatePerSecond{}; /*!< Requests per second that a cold instance tolerates; zero for no limit. */
};

/*! @brief Client account with its API keys and rate cap. */
struct Account {
    std::string name; /*!< Unique name. */
    std::vector<std::string> keys; /*!< API keys of the account. */
    std::uint32_t priority{}; /*!< Priority; zero is the highest. */
    double ratePerSecond{}; /*!< Rate cap in requests per second, summed over all nodes; zero for no cap. */
    double burst{}; /*!< Number of requests allowed at once beyond the rate. */
};

/*! @brief Size and time limits for client connections. */
struct Limits {
    std::size_t maxHeaderBytes{16384}; /*!< Maximum size of the request line and header fields in bytes. */
    std::size_t maxBodyBytes{std::size_t{64} << 20}; /*!< Maximum size of a request body in bytes. */
    Duration headerTimeout{std::chrono::seconds{3}}; /*!< Maximum time to receive the header fields. */
    Duration idleTimeout{std::chrono::seconds{15}}; /*!< Maximum time for which a connection may stay idle. */
};

/*! @brief Complete configuration at one version. */
struct Configuration {
    std::uint64_t version{}; /*!< Increases with every change. */
    std::vector<Route> routes; /*!< Routing rules, in any order. */
    std::vector<Service> services; /*!< Services that routes refer to. */
    std::vector<Account> accounts; /*!< Client accounts; empty if no API key is required. */
    Limits limits; /*!< Limits for client connections. */
};

/**
 * @brief Immutable configuration with indexes by host and by API key.
 */
class ConfigurationIndex
{
public:
    /**
     * @brief Builds the indexes.
     * @param configuration Configuration; its accounts should not share keys, as the first account with a key wins.
     */
    explicit ConfigurationIndex(Configuration configuration);

    ConfigurationIndex(const ConfigurationIndex &) = delete;
    auto operator=(const ConfigurationIndex &) -> ConfigurationIndex & = delete;
    ~ConfigurationIndex() = default;

    /**
     * @brief Finds the route of the host with the longest prefix that matches the path.
     * @param host Host of the request; port and letter case are ignored.
     * @param target Request target; query and fragment are ignored.
     * @return The route, or null if none matches.
     */
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view target) const -> const Route *;

    /**
     * @brief Finds the account of an API key.
     * @param key API key.
     * @return The account, or null if the key is unknown.
     */
    [[nodiscard]] auto findAccount(std::string_view key) const -> const Account *;

    /**
     * @brief Finds a service by name.
     * @param name Name of the service.
     * @return The service, or null if it is not configured.
     */
    [[nodiscard]] auto findService(std::string_view name) const -> const Service *;

    /*! @brief Returns the configuration that the indexes refer to. */
    [[nodiscard]] auto configuration() const noexcept -> const Configuration &;

private:
    Configuration configuration_;
    std::map<std::string, std::vector<const Route *>, std::less<>> routes_; /*!< By host, longest prefix first. */
    std::map<std::string, const Account *, std::less<>> accounts_; /*!< By API key. */
};

} // namespace jasminelatch::mesh

#endif

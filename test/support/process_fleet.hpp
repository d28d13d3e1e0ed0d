#ifndef JASMINELATCH_TEST_SUPPORT_PROCESS_FLEET_HPP
#define JASMINELATCH_TEST_SUPPORT_PROCESS_FLEET_HPP

#include "process.hpp"
#include "relay.hpp"
#include "wait.hpp"

#include <jasminelatch/net/http_client.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminelatch::test {

/*! @brief Service and failure domain of a VM. */
struct VmPlan {
    std::string service; /*!< Service of its backend server. */
    std::string domain; /*!< Failure domain. */
};

/*! @brief Configuration of a process fleet. */
struct FleetPlan {
    std::vector<VmPlan> vms; /*!< VMs with a node and a backend server each. */
    nlohmann::json records; /*!< Records applied before the first node starts. */
    std::vector<std::string> accounts; /*!< Client accounts for which a key is issued. */
    std::map<std::string, nlohmann::json> routes; /*!< Routes of the backend servers, by service. */
    nlohmann::json modes = nlohmann::json::object(); /*!< Value of the nodes' `modes` setting. */
    std::uint32_t slots{30}; /*!< Number of requests that each backend server runs at once; others are queued. */
    std::uint32_t queue{10}; /*!< Number of requests that each backend server queues at most; it refuses others. */
    bool relayed{}; /*!< Whether connections between nodes pass through a relay. */
};

/*! @brief One VM: a node, a backend server, and their ports. */
struct Vm {
    VmPlan plan;
    std::uint16_t ports{}; /*!< First port of the range; the port of the node's address. */
    Process node;
    Process backend;
    std::unique_ptr<Relay> relay; /*!< Relay in front of the node at its advertised address; may be null. */

    [[nodiscard]] auto address() const -> std::string;
    [[nodiscard]] auto operatorUrl() const -> std::string;
    [[nodiscard]] auto callerUrl() const -> std::string;
    [[nodiscard]] auto backendUrl() const -> std::string;
};

/*! @brief Result of running jasminelatchctl. */
struct CommandResult {
    int exit{}; /*!< Exit code; -1 on timeout. */
    std::string output; /*!< Standard output and error. */
};

/*! @brief Reply that a client received, or the failure of its request. */
struct Reply {
    net::HttpEnd end{net::HttpEnd::Lost};
    int status{};
    std::string reason; /*!< Reason of a refusal. */
    std::string outcome; /*!< Outcome stated in a refusal. */
    std::string requestId;
    std::string body;

    /*! @brief Checks whether an answer with status 200 was received. */
    [[nodiscard]] auto ok() const -> bool { return end == net::HttpEnd::Answered && status == 200; }
};

/**
 * @brief Validates an answer of `jasminelatch-backend`, including its checksum.
 * @param reply Reply to check.
 * @param sent Body of the request.
 * @return True when the answer is complete and belongs to that request.
 */
[[nodiscard]] auto isCompleteAnswer(const Reply &reply, const std::string &sent) -> bool;

/**
 * @brief Real processes on the loopback address: a store, and VMs with a node and a backend server each.
 *
 * The destructor kills every process by its process id.
 */
class ProcessFleet
{
public:
    explicit ProcessFleet(FleetPlan plan);

    ProcessFleet(const ProcessFleet &) = delete;
    auto operator=(const ProcessFleet &) -> ProcessFleet & = delete;
    ~ProcessFleet();

    /*! @brief Waits until all nodes are members with a fresh configuration and a backend server, and all leases are
     * held. */
    [[nodiscard]] auto waitReady() -> bool;

    [[nodiscard]] auto vm(const std::size_t index) -> Vm & { return vms_[index]; }
    [[nodiscard]] auto size() const -> std::size_t { return vms_.size(); }
    [[nodiscard]] auto key(const std::string &account) const -> const std::string & { return keys_.at(account); }
    [[nodiscard]] auto storeUrl() const -> std::string;

    /*! @brief Starts a node; its previous process must have exited. */
    auto startNode(std::size_t index) -> void;

    /*! @brief Starts a backend server; its previous process must have exited. */
    auto startBackend(std::size_t index) -> void;

    /*! @brief Starts a VM on new ports, as its replacement by a new VM would. */
    auto replaceVm(std::size_t index) -> void;

    /*! @brief Saves the requests that a backend server has executed, before it exits. */
    auto saveRuns(std::size_t index) -> void;

    /*! @brief Returns all requests that the backend servers of a service executed, including saved ones. */
    [[nodiscard]] auto runs(const std::string &service) -> std::vector<nlohmann::json>;

    /*! @brief Returns the number of requests that a backend server executed. */
    [[nodiscard]] auto runCount(std::size_t index) const -> std::size_t;

    /*! @brief Returns the JSON answer of a node's operator port, or null on failure. */
    [[nodiscard]] auto query(std::size_t index, const std::string &path) const -> nlohmann::json;

    /*! @brief Returns the index of the VM whose node holds a lease. */
    [[nodiscard]] auto holderOf(const std::string &lease) const -> std::optional<std::size_t>;

    /*! @brief Returns the index of the first VM whose node is the holder of its cell. */
    [[nodiscard]] auto cellHolder() const -> std::optional<std::size_t>;

    /*! @brief Replaces the injected faults of a backend server. */
    auto setBackendFaults(std::size_t index, const nlohmann::json &faults) const -> void;

    /*! @brief Replaces the injected faults of the store. */
    auto setStoreFaults(const nlohmann::json &faults) const -> void;

    /*! @brief Runs jasminelatchctl and waits for its exit. */
    [[nodiscard]] auto command(std::vector<std::string> arguments) const -> CommandResult;

    /*! @brief Starts jasminelatchctl without waiting for its exit. */
    [[nodiscard]] auto startCommand(std::vector<std::string> arguments, const std::filesystem::path &output) const
        -> Process;

    /*! @brief Issues an API key for a client account. */
    [[nodiscard]] auto issueKey(const std::string &account) const -> std::string;

    /*! @brief Folder of settings and logs; kept after the test only when a check failed. */
    [[nodiscard]] auto folder() const -> const std::filesystem::path & { return folder_; }

private:
    [[nodiscard]] auto isReady(std::size_t index) const -> bool;
    [[nodiscard]] auto areLeasesHeld() const -> bool;

    FleetPlan plan_;
    std::filesystem::path folder_;
    std::uint16_t storePort_;
    Process store_;
    std::vector<Vm> vms_;
    std::map<std::string, std::string> keys_;
    std::vector<nlohmann::json> savedRuns_;
};

} // namespace jasminelatch::test

#endif

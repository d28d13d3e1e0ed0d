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

/*! @brief What a VM of the fleet runs. */
struct VmPlan {
    std::string service; /*!< Service of its backend server. */
    std::string domain; /*!< Failure domain. */
};

/*! @brief Fleet that a test wants. */
struct FleetPlan {
    std::vector<VmPlan> vms; /*!< VMs with a node and a backend server each. */
    nlohmann::json records; /*!< Records in force before the first node starts. */
    std::vector<std::string> accounts; /*!< Accounts that get a key. */
    std::map<std::string, nlohmann::json> routes; /*!< Routes of the backend servers, by service. */
    nlohmann::json modes = nlohmann::json::object(); /*!< Modes of the nodes. */
    std::uint32_t slots{30}; /*!< Slots of each backend server. */
    std::uint32_t queue{10}; /*!< Requests that may wait at each backend server. */
    bool relayed{}; /*!< Whether connections between nodes pass through a relay. */
};

/*! @brief One VM: a node, a backend server, and their ports. */
struct Vm {
    VmPlan plan;
    std::uint16_t ports{}; /*!< First of the ports, that of the node's address. */
    Process node;
    Process backend;
    std::unique_ptr<Relay> relay; /*!< Between the address that peers know and the node. */

    [[nodiscard]] auto address() const -> std::string;
    [[nodiscard]] auto operatorUrl() const -> std::string;
    [[nodiscard]] auto callerUrl() const -> std::string;
    [[nodiscard]] auto backendUrl() const -> std::string;
};

/*! @brief How a run of jasminelatchctl ended. */
struct CommandResult {
    int exit{}; /*!< Exit code. */
    std::string output; /*!< What it wrote. */
};

/*! @brief What a caller received. */
struct Reply {
    net::HttpEnd end{net::HttpEnd::Lost};
    int status{};
    std::string reason; /*!< Reason of a refusal. */
    std::string outcome; /*!< Outcome that a refusal states. */
    std::string requestId;
    std::string body;

    /*! @brief Tells whether a whole answer of a backend server came. */
    [[nodiscard]] auto ok() const -> bool { return end == net::HttpEnd::Answered && status == 200; }
};

/**
 * @brief Checks an answer of the backend server's stand-in.
 * @param reply The reply.
 * @param sent Body of the request.
 * @return True when the answer is whole and belongs to that request.
 */
[[nodiscard]] auto isCompleteAnswer(const Reply &reply, const std::string &sent) -> bool;

/**
 * @brief Real processes on the loopback address: a store, and VMs with a node and a backend server each.
 *
 * Everything is ended by process id when the fleet goes.
 */
class ProcessFleet
{
public:
    explicit ProcessFleet(FleetPlan plan);

    ProcessFleet(const ProcessFleet &) = delete;
    auto operator=(const ProcessFleet &) -> ProcessFleet & = delete;
    ~ProcessFleet();

    /*! @brief Waits until all nodes are members, fresh, see every service, and hold all rights. */
    [[nodiscard]] auto waitReady() -> bool;

    [[nodiscard]] auto vm(const std::size_t index) -> Vm & { return vms_[index]; }
    [[nodiscard]] auto size() const -> std::size_t { return vms_.size(); }
    [[nodiscard]] auto key(const std::string &account) const -> const std::string & { return keys_.at(account); }
    [[nodiscard]] auto storeUrl() const -> std::string;

    /*! @brief Starts a node; its old process must have ended. */
    auto startNode(std::size_t index) -> void;

    /*! @brief Starts a backend server; its old process must have ended. */
    auto startBackend(std::size_t index) -> void;

    /*! @brief Gives a VM new ports, as a new VM would have, and starts it. */
    auto replaceVm(std::size_t index) -> void;

    /*! @brief Keeps what a backend server ran so far, before it ends. */
    auto saveRuns(std::size_t index) -> void;

    /*! @brief Returns all that the backend servers of a service ran, also those that ended. */
    [[nodiscard]] auto runs(const std::string &service) -> std::vector<nlohmann::json>;

    /*! @brief Returns how many requests a backend server ran. */
    [[nodiscard]] auto runCount(std::size_t index) const -> std::size_t;

    /*! @brief Returns what a node's operators' port answers, or null. */
    [[nodiscard]] auto query(std::size_t index, const std::string &path) const -> nlohmann::json;

    /*! @brief Returns the VM whose node holds a right. */
    [[nodiscard]] auto holderOf(const std::string &right) const -> std::optional<std::size_t>;

    /*! @brief Returns a VM whose node is its cell's holder. */
    [[nodiscard]] auto cellHolder() const -> std::optional<std::size_t>;

    /*! @brief Sets the faults of a backend server. */
    auto setBackendFaults(std::size_t index, const nlohmann::json &faults) const -> void;

    /*! @brief Sets the faults of the store. */
    auto setStoreFaults(const nlohmann::json &faults) const -> void;

    /*! @brief Runs jasminelatchctl. */
    [[nodiscard]] auto command(std::vector<std::string> arguments) const -> CommandResult;

    /*! @brief Starts jasminelatchctl and returns without waiting. */
    [[nodiscard]] auto startCommand(std::vector<std::string> arguments, const std::filesystem::path &output) const
        -> Process;

    /*! @brief Issues a key for an account. */
    [[nodiscard]] auto issueKey(const std::string &account) const -> std::string;

    /*! @brief Folder of this fleet; removed with it unless a check failed. */
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

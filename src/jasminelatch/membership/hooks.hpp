#ifndef JASMINELATCH_MEMBERSHIP_HOOKS_HPP
#define JASMINELATCH_MEMBERSHIP_HOOKS_HPP

#include "message.hpp"

#include <jasminelatch/core/identifier.hpp>
#include <jasminelatch/store/request.hpp>

#include <functional>
#include <string>
#include <vector>

namespace jasminelatch::membership {

/*! @brief Ways of a membership controller to the outside. */
struct Hooks {
    store::Call store; /*!< Calls the platform's store. */
    std::function<void(const NodeAddress &to, Message)> send; /*!< Sends a message that may be lost. */
    std::function<bool(const LeaseName &)> holds; /*!< Tells whether this node holds a right now. */
    std::function<void(const LeaseName &)> contend; /*!< Starts to contend for a right; may be called again. */
    std::function<void(const LeaseName &)> stopContending; /*!< Stops to contend; gives the right up when held. */
    std::function<std::vector<LeaseName>()> wantedRights; /*!< All rights of the fleet but the cells; optional. */
    std::function<std::string()> attachment; /*!< Text to send along with heartbeats and answers; optional. */
    std::function<void(const NodeAddress &from, const std::string &)> attachmentReceived; /*!< Gets it; optional. */
    std::function<void(const ServiceName &)> endpointsChanged; /*!< After a service's endpoints changed; optional. */
    std::function<void()> directoryChanged; /*!< After the holder of some right changed; optional. */
};

} // namespace jasminelatch::membership

#endif

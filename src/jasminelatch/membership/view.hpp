#ifndef JASMINELATCH_MEMBERSHIP_VIEW_HPP
#define JASMINELATCH_MEMBERSHIP_VIEW_HPP

#include "message.hpp"

#include <jasminelatch/core/identifier.hpp>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace jasminelatch::membership::internal {

/*! @brief What a member knows of the fleet; it changes only when something newer is heard. */
class View
{
public:
    /*! @brief What a change of the view touched. */
    struct Touched {
        std::vector<ServiceName> services; /*!< Services whose endpoints differ now. */
        bool directory{}; /*!< The directory differs now. */
    };

    /**
     * @brief Follows a service.
     * @param service The service.
     * @return True when it was not followed before.
     */
    auto subscribe(const ServiceName &service) -> bool;

    /**
     * @brief Applies changes.
     * @param changes The changes; services not followed are left out.
     * @return What differs now.
     */
    auto apply(const Changes &changes) -> Touched;

    /**
     * @brief Removes the endpoint of a node that said it leaves.
     * @param node The node.
     * @return What differs now.
     */
    auto drop(const NodeAddress &node) -> Touched;

    /*! @brief Returns the endpoints of a service. */
    [[nodiscard]] auto endpoints(const ServiceName &service) const -> std::span<const Endpoint>;

    /*! @brief Returns the holder of a right. */
    [[nodiscard]] auto holderOf(const LeaseName &right) const -> std::optional<NodeAddress>;

    /*! @brief Returns the directory. */
    [[nodiscard]] auto directory() const -> const Directory & { return directory_; }

    /*! @brief Returns the assignment. */
    [[nodiscard]] auto assignment() const -> const Assignment & { return assignment_; }

    /*! @brief Returns the versions of the services followed, in order of name. */
    [[nodiscard]] auto services() const -> std::vector<ServiceVersion>;

    /*! @brief Returns the version of the whole view. */
    [[nodiscard]] auto version() const -> ContentVersion;

private:
    std::map<ServiceName, ServiceView> services_;
    Directory directory_;
    Assignment assignment_;
};

} // namespace jasminelatch::membership::internal

#endif

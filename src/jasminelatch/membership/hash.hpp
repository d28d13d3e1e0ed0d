#ifndef JASMINELATCH_MEMBERSHIP_HASH_HPP
#define JASMINELATCH_MEMBERSHIP_HASH_HPP

#include "message.hpp"

#include <jasminelatch/core/identifier.hpp>

#include <cstdint>
#include <span>
#include <string_view>

namespace jasminelatch::membership::internal {

/*! @brief Hash that is the same on every machine and in every version: FNV-1a with a final mix. */
class Hasher
{
public:
    /**
     * @brief Adds a number.
     * @param value The number.
     * @return This hasher.
     */
    auto add(std::uint64_t value) -> Hasher &;

    /**
     * @brief Adds a text with its length.
     * @param text The text.
     * @return This hasher.
     */
    auto add(std::string_view text) -> Hasher &;

    /**
     * @brief Adds a name.
     * @param identifier The name.
     * @return This hasher.
     */
    template<typename Tag>
    auto add(const Identifier<Tag> &identifier) -> Hasher &
    {
        return add(std::string_view{identifier.text()});
    }

    /**
     * @brief Adds an endpoint.
     * @param endpoint The endpoint.
     * @return This hasher.
     */
    auto add(const Endpoint &endpoint) -> Hasher &;

    /**
     * @brief Returns the hash of all that was added.
     * @return The hash, never zero.
     */
    [[nodiscard]] auto result() const -> std::uint64_t;

private:
    std::uint64_t state_{0xcbf29ce484222325U};
};

/**
 * @brief Computes the version of a service's endpoints.
 * @param endpoints The endpoints in order.
 * @return Their version.
 */
[[nodiscard]] auto versionOf(std::span<const Endpoint> endpoints) -> ContentVersion;

/**
 * @brief Computes the version of a directory's rights.
 * @param rights The rights in order.
 * @return Their version.
 */
[[nodiscard]] auto versionOf(std::span<const RightHolder> rights) -> ContentVersion;

/**
 * @brief Computes the version of an assignment.
 * @param assignment The assignment; its present version does not matter.
 * @return Its version.
 */
[[nodiscard]] auto versionOf(const Assignment &assignment) -> ContentVersion;

/**
 * @brief Computes the version of a member's whole view.
 * @param services Versions of the services subscribed to, in order of name.
 * @param directory Version of the directory.
 * @param assignment Version of the assignment.
 * @return Version of all together.
 */
[[nodiscard]] auto versionOf(std::span<const ServiceVersion> services,
                             ContentVersion directory,
                             ContentVersion assignment) -> ContentVersion;

} // namespace jasminelatch::membership::internal

#endif

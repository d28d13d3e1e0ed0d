#ifndef JASMINELATCH_CORE_IDENTIFIER_HPP
#define JASMINELATCH_CORE_IDENTIFIER_HPP

#include <nlohmann/json.hpp>

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace jasminelatch {

/**
 * @brief Text that names one kind of thing and does not mix with names of another kind.
 * @tparam Tag Type that tells the kinds apart.
 */
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;

    /**
     * @brief Wraps a name.
     * @param text The name.
     */
    explicit Identifier(std::string text)
        : text_{std::move(text)}
    {
    }

    /**
     * @brief Returns the name.
     * @return The name as given.
     */
    [[nodiscard]] auto text() const noexcept -> const std::string & { return text_; }

    /**
     * @brief Tells whether no name is set.
     * @return True when the text is empty.
     */
    [[nodiscard]] auto empty() const noexcept -> bool { return text_.empty(); }

    auto operator<=>(const Identifier &) const = default; // NOLINT(modernize-use-nullptr)

    friend auto operator<<(std::ostream &out, const Identifier &identifier) -> std::ostream &
    {
        return out << identifier.text_;
    }

    friend auto to_json(nlohmann::json &json, const Identifier &identifier) -> void { json = identifier.text_; }

    friend auto from_json(const nlohmann::json &json, Identifier &identifier) -> void { json.get_to(identifier.text_); }

private:
    std::string text_;
};

/*! @brief Address of a node for other nodes, as host:port. */
using NodeAddress = Identifier<struct NodeAddressTag>;
/*! @brief Name of a service. */
using ServiceName = Identifier<struct ServiceNameTag>;
/*! @brief Name of a client account. */
using AccountName = Identifier<struct AccountNameTag>;
/*! @brief Name of a request kind. */
using KindName = Identifier<struct KindNameTag>;
/*! @brief Name of a failure domain. */
using FailureDomain = Identifier<struct FailureDomainTag>;
/*! @brief Unique id of one request on one hop. */
using RequestId = Identifier<struct RequestIdTag>;
/*! @brief Key of a right that at most one node holds. */
using LeaseName = Identifier<struct LeaseNameTag>;

} // namespace jasminelatch

template<typename Tag>
struct std::hash<jasminelatch::Identifier<Tag>> {
    auto operator()(const jasminelatch::Identifier<Tag> &identifier) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(identifier.text());
    }
};

#endif

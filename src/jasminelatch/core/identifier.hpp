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
 * @brief Strongly typed string identifier; identifiers with different tags do not convert into each other.
 * @tparam Tag Tag type that makes each identifier type distinct.
 */
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;

    /**
     * @brief Constructs an identifier from its text, without validation.
     * @param text Text of the identifier.
     */
    explicit Identifier(std::string text)
        : text_{std::move(text)}
    {
    }

    /**
     * @brief Returns the text as passed to the constructor.
     * @return Text of the identifier.
     */
    [[nodiscard]] auto text() const noexcept -> const std::string & { return text_; }

    /**
     * @brief Checks whether the identifier is unset.
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

/*! @brief Address at which other nodes reach a node, as host:port. */
using NodeAddress = Identifier<struct NodeAddressTag>;
/*! @brief Name of a service. */
using ServiceName = Identifier<struct ServiceNameTag>;
/*! @brief Name of a client account. */
using AccountName = Identifier<struct AccountNameTag>;
/*! @brief Name of a request kind, that is, a method and path of a service. */
using KindName = Identifier<struct KindNameTag>;
/*! @brief Name of a failure domain. */
using FailureDomain = Identifier<struct FailureDomainTag>;
/*! @brief Unique id of a request on one hop of a call tree. */
using RequestId = Identifier<struct RequestIdTag>;
/*! @brief Name of an exclusive lease, which at most one node holds at a time. */
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

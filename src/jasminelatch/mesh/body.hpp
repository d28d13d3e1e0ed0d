#ifndef JASMINELATCH_MESH_BODY_HPP
#define JASMINELATCH_MESH_BODY_HPP

#include "byte_budget.hpp"

#include <concepts>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace jasminelatch::mesh {

/**
 * @brief Immutable body of an HTTP message; copies share one text and its reservation in the byte budget.
 *
 * An attempt keeps the body for retries while streams send it, and the last of them to finish is not known beforehand;
 * hence the shared ownership. The bytes are released with the last copy.
 */
class Body
{
public:
    /*! @brief Makes an empty body. */
    Body() = default;

    /**
     * @brief Makes a body.
     * @param text Contents.
     * @param reservation Reservation that is kept as long as any copy of the body.
     */
    Body(std::string text, ByteReservation reservation = {}) // NOLINT(google-explicit-constructor)
        : content_{std::make_shared<const Content>(std::move(text), std::move(reservation))}
    {
    }

    /*! @brief Makes a body from a literal. */
    Body(const char *text) // NOLINT(google-explicit-constructor)
        : Body{std::string{text}}
    {
    }

    /*! @brief Returns the contents. */
    [[nodiscard]] auto text() const -> const std::string &
    {
        static const std::string none;
        return content_ ? content_->text : none;
    }

    operator const std::string &() const { return text(); } // NOLINT(google-explicit-constructor)

    [[nodiscard]] auto size() const -> std::size_t { return text().size(); }
    [[nodiscard]] auto empty() const -> bool { return text().empty(); }
    [[nodiscard]] auto begin() const { return text().begin(); }
    [[nodiscard]] auto end() const { return text().end(); }
    [[nodiscard]] auto find(const std::string_view part) const -> std::size_t { return text().find(part); }

    /*! @brief Returns the contents for a stream, which keeps the body until the last byte has left. */
    [[nodiscard]] auto share() const -> std::shared_ptr<const std::string>
    {
        return content_ ? std::shared_ptr<const std::string>{content_, &content_->text} : nullptr;
    }

    friend auto operator==(const Body &left, const Body &right) -> bool { return left.text() == right.text(); }

    template<std::convertible_to<std::string_view> Text>
    friend auto operator==(const Body &left, const Text &right) -> bool
    {
        return left.text() == std::string_view{right};
    }

private:
    struct Content {
        Content(std::string ofText, ByteReservation ofReservation)
            : text{std::move(ofText)}
            , reservation{std::move(ofReservation)}
        {
        }

        std::string text;
        ByteReservation reservation;
    };

    std::shared_ptr<const Content> content_;
};

} // namespace jasminelatch::mesh

#endif

#ifndef JASMINELATCH_SECRET_FLEET_SECRET_HPP
#define JASMINELATCH_SECRET_FLEET_SECRET_HPP

#include <array>
#include <string>
#include <string_view>

namespace jasminelatch::secret {

/*! @brief Secret that all nodes share; it authenticates texts. */
class FleetSecret
{
public:
    /**
     * @brief Derives the key from the secret.
     * @param secret Text of the secret, any length.
     */
    explicit FleetSecret(std::string_view secret);

    /**
     * @brief Computes the authentication code of a text.
     * @param text The text.
     * @return Code in hexadecimal digits.
     */
    [[nodiscard]] auto authenticate(std::string_view text) const -> std::string;

    /**
     * @brief Checks an authentication code in constant time.
     * @param text The text.
     * @param code Code in hexadecimal digits.
     * @return True when the code belongs to the text.
     */
    [[nodiscard]] auto verify(std::string_view text, std::string_view code) const -> bool;

private:
    static constexpr std::size_t keyBytes = 32;

    std::array<unsigned char, keyBytes> key_{};
};

/**
 * @brief Draws a random text.
 * @param bytes Number of random bytes.
 * @return Two hexadecimal digits for each byte.
 */
[[nodiscard]] auto randomHex(std::size_t bytes) -> std::string;

} // namespace jasminelatch::secret

#endif

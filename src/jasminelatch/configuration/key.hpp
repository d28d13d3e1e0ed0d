#ifndef JASMINELATCH_CONFIGURATION_KEY_HPP
#define JASMINELATCH_CONFIGURATION_KEY_HPP

#include <array>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace jasminelatch::configuration {

/*! @brief Length of the id of a new key, in characters. */
inline constexpr std::size_t keyIdLength = 12;
/*! @brief Length of the secret part of a key, in bytes. */
inline constexpr std::size_t keySecretBytes = 32;

/*! @brief Presented key `jl_<id>_<secret>`, taken apart. */
struct PresentedKey {
    std::string_view id; /*!< Public part. */
    std::string_view secret; /*!< Secret part, base64url. */
};

/*! @brief New key: the text for its owner and what is kept of it. */
struct IssuedKey {
    std::string id; /*!< Public part. */
    std::string text; /*!< Whole key; shown once and kept nowhere. */
    std::string hash; /*!< Hash of the secret part, in hexadecimal. */
};

/**
 * @brief Takes a presented key apart.
 * @param text The key as it came.
 * @return Its parts, views into `text`, or nothing when it does not have the form of a key.
 */
[[nodiscard]] auto splitKey(std::string_view text) -> std::optional<PresentedKey>;

/**
 * @brief Hashes the secret part of a key with BLAKE2b.
 * @param secret Secret part, base64url.
 * @return Hash in hexadecimal. A fast hash will do: the secret has 256 random bits and can't be guessed.
 */
[[nodiscard]] auto hashSecret(std::string_view secret) -> std::string;

/**
 * @brief Compares two hashes in a time that does not depend on where they differ.
 * @param left One hash.
 * @param right The other.
 * @return True when they are equal.
 */
[[nodiscard]] auto equalHashes(std::string_view left, std::string_view right) -> bool;

/**
 * @brief Makes a key from random bytes.
 * @param idBytes Bytes for the id.
 * @param secretBytes Bytes for the secret.
 * @return The key.
 */
[[nodiscard]] auto makeKey(std::span<const unsigned char, keyIdLength> idBytes,
                           std::span<const unsigned char, keySecretBytes> secretBytes) -> IssuedKey;

/*! @brief Makes a key from the operating system's random numbers. */
[[nodiscard]] auto issueKey() -> IssuedKey;

} // namespace jasminelatch::configuration

#endif

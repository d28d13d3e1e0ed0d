#ifndef JASMINELATCH_WIRE_CODEC_HPP
#define JASMINELATCH_WIRE_CODEC_HPP

#include "message.hpp"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace jasminelatch::wire {

/*! @brief Bytes of one message. */
using Bytes = std::vector<std::uint8_t>;

/*! @brief Reason why bytes are no message. */
struct DecodeError {
    std::string reason; /*!< What is wrong. */
};

/**
 * @brief Writes a message as CBOR.
 * @param message The message.
 * @return Its bytes.
 */
[[nodiscard]] auto encode(const Message &message) -> Bytes;

/**
 * @brief Reads a message.
 * @param bytes CBOR of one message.
 * @return The message, or a `DecodeError`.
 */
[[nodiscard]] auto decode(std::span<const std::uint8_t> bytes) -> boost::leaf::result<Message>;

} // namespace jasminelatch::wire

#endif

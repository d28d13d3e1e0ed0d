#ifndef JASMINELATCH_WIRE_MESSAGE_HPP
#define JASMINELATCH_WIRE_MESSAGE_HPP

#include <jasminelatch/call/message.hpp>
#include <jasminelatch/configuration/message.hpp>
#include <jasminelatch/connection/message.hpp>
#include <jasminelatch/lease/message.hpp>
#include <jasminelatch/membership/message.hpp>
#include <jasminelatch/order/message.hpp>
#include <jasminelatch/quota/message.hpp>
#include <jasminelatch/retry/message.hpp>

#include <variant>

namespace jasminelatch::wire {

/*! @brief Any message between nodes; each alternative is the message type of one module. */
using Message = std::variant<call::Message,
                             configuration::Message,
                             connection::Message,
                             lease::Message,
                             membership::Message,
                             order::Message,
                             quota::Message,
                             retry::Message>;

} // namespace jasminelatch::wire

#endif

#ifndef JASMINELATCH_WIRE_FWD_HPP
#define JASMINELATCH_WIRE_FWD_HPP

namespace jasminelatch::wire {

struct DecodeError;

} // namespace jasminelatch::wire

#endif

#ifndef JASMINELATCH_CORE_FWD_HPP
#define JASMINELATCH_CORE_FWD_HPP

namespace jasminelatch {

class Clock;
class Counters;
struct Finding;
struct Refusal;

} // namespace jasminelatch

#endif

#ifndef JASMINELATCH_CONTROL_FWD_HPP
#define JASMINELATCH_CONTROL_FWD_HPP

namespace jasminelatch::control {

struct Failure;
struct Plan;
class Operator;
class Repository;

} // namespace jasminelatch::control

#endif

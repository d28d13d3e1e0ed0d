#ifndef JASMINELATCH_CALL_FWD_HPP
#define JASMINELATCH_CALL_FWD_HPP

namespace jasminelatch::call {

class Dispatcher;
class Executor;
struct Answer;
struct Attempt;
struct Cancel;

} // namespace jasminelatch::call

#endif

#ifndef JASMINELATCH_EVENT_FWD_HPP
#define JASMINELATCH_EVENT_FWD_HPP

namespace jasminelatch::event {

class Listener;
class Loop;
class Stream;
struct Endpoint;

} // namespace jasminelatch::event

#endif

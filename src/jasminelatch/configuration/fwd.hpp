#ifndef JASMINELATCH_CONFIGURATION_FWD_HPP
#define JASMINELATCH_CONFIGURATION_FWD_HPP

namespace jasminelatch::configuration {

struct ChangeSet;
struct KeyCheck;
struct PeerState;
class Controller;
class View;

} // namespace jasminelatch::configuration

#endif

#ifndef JASMINELATCH_NODE_FWD_HPP
#define JASMINELATCH_NODE_FWD_HPP

namespace jasminelatch::node {

class Controllers;
class Core;
class RequestPath;
class Runtime;
struct Settings;

} // namespace jasminelatch::node

#endif

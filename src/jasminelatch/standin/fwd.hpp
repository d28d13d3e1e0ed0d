#ifndef JASMINELATCH_STANDIN_FWD_HPP
#define JASMINELATCH_STANDIN_FWD_HPP

namespace jasminelatch::standin {

class BackendServer;
class StoreServer;

} // namespace jasminelatch::standin

#endif

#ifndef JASMINELATCH_SIDECAR_FWD_HPP
#define JASMINELATCH_SIDECAR_FWD_HPP

namespace jasminelatch::sidecar {

class DecisionLog;
class HttpConnection;
class HttpServer;
class InstancePool;
class LocalInstance;
class Node;
class PeerLink;
class PeerServer;
class QuarantineStore;
class RequestRouter;
class StoreWriter;
struct Settings;

} // namespace jasminelatch::sidecar

#endif

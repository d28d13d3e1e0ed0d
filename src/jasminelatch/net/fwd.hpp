#ifndef JASMINELATCH_NET_FWD_HPP
#define JASMINELATCH_NET_FWD_HPP

namespace jasminelatch::net {

class BlockingStoreClient;
class HttpClient;
class HttpServer;
class PeerTransport;
struct HttpRequest;
struct HttpResponse;

} // namespace jasminelatch::net

#endif

#ifndef JASMINELATCH_NODE_DOORS_HPP
#define JASMINELATCH_NODE_DOORS_HPP

#include "request_path.hpp"

#include <jasminelatch/net/http_server.hpp>

#include <map>

namespace jasminelatch::node {

/**
 * @brief Responders of the requests that wait for their answer; belongs to the thread that decides.
 */
class Doors
{
public:
    /**
     * @brief Keeps the responder of a request.
     * @param from Number of the request at its door.
     * @param responder Its responder.
     */
    auto add(DoorNumber from, net::Responder responder) -> void;

    /**
     * @brief Answers a request.
     * @param to Number of the request; an unknown one is ignored.
     * @param response The response.
     */
    auto answer(DoorNumber to, net::HttpResponse response) -> void;

private:
    std::map<std::pair<call::Origin, std::uint64_t>, net::Responder> responders_;
};

} // namespace jasminelatch::node

#endif

#ifndef JASMINELATCH_TEST_SIDECAR_TEST_NODE_HPP
#define JASMINELATCH_TEST_SIDECAR_TEST_NODE_HPP

#include "loopback.hpp"

#include <jasminelatch/sidecar/http_connection.hpp>
#include <jasminelatch/sidecar/node.hpp>

#include <platform/dialect.hpp>
#include <sodium.h>
#include <support/platform_store.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jasminelatch::sidecar {

using namespace std::chrono_literals;

inline auto base64(const std::string &text) -> std::string
{
    std::string encoded(sodium_base64_encoded_len(text.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(encoded.data(),
                      encoded.size(),
                      reinterpret_cast<const unsigned char *>(text.data()),
                      text.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    encoded.pop_back();
    return encoded;
}

inline auto plainConfiguration(const std::string &version, const std::string &keys, const std::string &cap = {})
    -> std::string
{
    return R"({"version":")" + version + R"(","resources":[
 {"resource-kind":"routes","metadata":{"name":"orders"},"spec":{"host":"a.example","path-prefix":"/o/",
  "route-type":"non_idempotent","timeout":"1s","target-latency":"1s","priority":0,"service":"orders","max-attempts":2}},
 {"resource-kind":"routes","metadata":{"name":"maps"},"spec":{"host":"a.example","path-prefix":"/m/",
  "route-type":"idempotent","timeout":"600ms","target-latency":"1s","priority":2,"service":"orders","max-attempts":2}},
 {"resource-kind":"services","metadata":{"name":"orders"},"spec":{"health-path":"/health","max-connections":100}},
 {"resource-kind":"tenants","metadata":{"name":"club"},"spec":{"api-keys":[)"
         + keys + R"(],"priority":1)" + cap + "}}]}";
}

/*! @brief Returns a configuration in base64, as the store holds it. */
inline auto configuration(const std::string &version, const std::string &keys, const std::string &cap = {})
    -> std::string
{
    return base64(plainConfiguration(version, keys, cap));
}

/*! @brief Fake backend server: records requests and answers them immediately or when the test calls `answer`. */
struct FakeInstance {
    FakeInstance(Loopback &fakeLoopback, std::string name)
        : loopback{&fakeLoopback}
        , id{std::move(name)}
    {
        start();
    }

    /*! @brief Listens, at first or after a crash. */
    auto start() -> void
    {
        server =
            std::make_unique<HttpServer>(loopback->loop,
                                         HttpServer::Hooks{[this](mesh::Request request, HttpServer::Respond respond) {
                                                               return receive(std::move(request), std::move(respond));
                                                           },
                                                           [this](std::uint64_t) { ++cancelled; },
                                                           [] {
                                                               return mesh::Limits{};
                                                           }});
        if (const auto error = server->open(endpoint)) {
            throw std::runtime_error{*error};
        }
    }

    /*! @brief Closes all connections and stops to listen. */
    auto crash() -> void { loopback->loop.destroyLater(std::move(server)); }

    auto receive(mesh::Request request, HttpServer::Respond respond) -> std::uint64_t
    {
        const auto isDeadly = !deadlyTarget.empty() && request.target == deadlyTarget;
        requests.push_back(std::move(request));
        const auto index = requests.size() - 1;
        responders.push_back(std::move(respond));
        if (isDeadly) {
            crash();
        } else if (answersAtOnce) {
            answer(index);
        }
        return static_cast<std::uint64_t>(requests.size());
    }

    auto answer(const std::size_t index) -> void
    {
        const auto *attempt = mesh::findField(requests[index].fields, "Attempt-Id");
        mesh::Answer answer{status,
                            {},
                            {{"Response-Seal", "seal-" + id}, {"Instance-Id", id}, {"Instance-Load", "0,0,20"}},
                            "from " + id};
        answer.fields.insert(answer.fields.end(), extraFields.begin(), extraFields.end());
        if (attempt != nullptr) {
            answer.fields.push_back({"Attempt-Id", *attempt});
        }
        responders[index](std::move(answer));
    }

    Loopback *loopback;
    std::string id;
    event::Endpoint endpoint{Loopback::freeEndpoint()};
    std::vector<mesh::Request> requests;
    std::vector<HttpServer::Respond> responders;
    std::vector<mesh::Field> extraFields; /*!< Added to every answer. */
    unsigned status{200}; /*!< Of every answer. */
    int cancelled{};
    bool answersAtOnce{true};
    std::string deadlyTarget; /*!< A request with this target crashes the instance. */
    std::unique_ptr<HttpServer> server; /*!< Null after a crash. */
};

/*! @brief Sidecar node with a fake instance; throws if a port can't be opened. */
struct TestNode {
    TestNode(Loopback &loopback,
             const event::Endpoint &store,
             const std::string &name,
             const std::string &service,
             const std::string &domain = "a",
             const Duration revocation = 2s)
        : instance{loopback, "i-" + name}
        , settings{name,
                   domain,
                   service,
                   instance.endpoint,
                   Loopback::freeEndpoint(),
                   Loopback::freeEndpoint(),
                   Loopback::freeEndpoint(),
                   Loopback::freeEndpoint(),
                   Loopback::freeEndpoint(),
                   store,
                   4s,
                   revocation,
                   0.2,
                   48,
                   10s,
                   0.1,
                   5s,
                   20,
                   std::size_t{160} << 20}
        , node{loopback.loop, loopback.clock, settings, platform::makeDialect()}
    {
        if (const auto error = node.open()) {
            throw std::runtime_error{*error};
        }
    }

    FakeInstance instance;
    Settings settings;
    Node node;
};

/*! @brief Sends one request over a new connection; returns an empty answer if none arrives in time. */
inline auto sendTo(Loopback &loopback, const event::Endpoint &to, const mesh::Request &request) -> mesh::Answer
{
    std::optional<HttpConnection::Result> result;
    HttpConnection connection{loopback.loop,
                              to,
                              {},
                              {[&](HttpConnection::Result ended) { result = std::move(ended); },
                               [] {
                               }}};
    connection.send(request);
    loopback.runUntil([&] { return result.has_value(); }, 3s);
    return result && result->answer ? *result->answer : mesh::Answer{};
}

/*! @brief Sends a GET request without credentials, as the platform does. */
inline auto getFrom(Loopback &loopback, const event::Endpoint &from, const std::string &path) -> mesh::Answer
{
    return sendTo(loopback, from, {"GET", path, {{"Host", "x"}}, {}});
}

/*! @brief Sends a state report from the instance of a node. */
inline auto sendInstanceReport(Loopback &loopback,
                               const TestNode &node,
                               const std::string &state,
                               const int sequence,
                               const int startTimeMs = 1700) -> mesh::Answer
{
    const nlohmann::json body{{"service", node.settings.service},
                              {"slots", 20},
                              {"state", state},
                              {"sequence", sequence},
                              {"born", startTimeMs}};
    return sendTo(loopback,
                  node.settings.reports,
                  {"POST", "/v1/Instances.Heartbeat/" + node.instance.id, {{"Host", "x"}}, body.dump()});
}

/*! @brief Sends a client request with an API key and a forged account field to a node. */
inline auto fetchAt(Loopback &loopback, const TestNode &node, const std::string &path, const std::string &key)
    -> mesh::Answer
{
    static int lastId{};
    return sendTo(loopback,
                  node.settings.callers,
                  {"GET",
                   path,
                   {{"Host", "a.example"},
                    {"Attempt-Id", "id-" + std::to_string(++lastId)},
                    {"Authorization", "Bearer " + key},
                    {"Tenant", "forged"},
                    {"Deadline-Ms", "900"}},
                   {}});
}

} // namespace jasminelatch::sidecar

#endif

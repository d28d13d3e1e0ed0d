#ifndef JASMINELATCH_TEST_SUPPORT_PLATFORM_STORE_HPP
#define JASMINELATCH_TEST_SUPPORT_PLATFORM_STORE_HPP

#include <jasminelatch/event/loop.hpp>
#include <jasminelatch/sidecar/http_server.hpp>
#include <jasminelatch/sidecar/request_router.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::test {

/**
 * @brief In-memory stand-in for the platform's store with items, watches and leases, served over HTTP.
 *
 * Values are kept in base64 as written. Leases never expire. An older copy may replace its contents.
 */
class PlatformStore
{
    using Json = nlohmann::json;

public:
    /*! @brief Listening address of the store; several addresses allow faults for some nodes only. */
    struct Address {
        bool isUnavailable{}; /*!< Whether calls at this address are answered with 503 and have no effect. */
        bool isReadOnly{}; /*!< Whether all calls but reads are. */
        std::unique_ptr<sidecar::HttpServer> server;
    };

    PlatformStore(event::Loop &loop, const event::Endpoint &on)
        : loop_{&loop}
    {
        openAddress(on);
    }

    /*! @brief Listens on another address. */
    auto openAddress(const event::Endpoint &on) -> Address &
    {
        auto &address = addresses_.emplace_back();
        address.server = std::make_unique<sidecar::HttpServer>(
            *loop_,
            sidecar::HttpServer::Hooks{
                [this, &address](const mesh::Request &request, sidecar::HttpServer::Respond plainRespond) {
                    const auto respond = [this, plainRespond = std::move(plainRespond)](mesh::Answer answer) {
                        answer.fields.push_back({"Store-Era", std::to_string(era_)});
                        plainRespond(std::move(answer));
                    };
                    if (address.isUnavailable || (address.isReadOnly && request.method != "GET")) {
                        respond({503, {}, {}, {}});
                    } else {
                        answer(request, respond);
                    }
                    return std::uint64_t{0};
                },
                [](std::uint64_t) {},
                [] {
                    return mesh::Limits{};
                }});
        if (const auto error = address.server->open(on)) {
            throw std::runtime_error{*error};
        }
        return address;
    }

    /*! @brief Writes an item as an operator would. */
    auto put(const std::string &key, const std::string &base64) -> void
    {
        items_[key] = {{"key", key}, {"value", base64}, {"revision", ++revision_}, {"lease", 0}};
        changes_.push_back(items_[key]);
        wakeWatches();
    }

    /*! @brief Removes an item as an operator would. */
    auto erase(const std::string &key) -> void { change({{"puts", Json::array()}, {"deletes", {key}}}); }

    /*! @brief Keeps a copy of the present contents for `restore`. */
    auto keepCopy() -> void { copy_ = Copy{items_, revision_, lastLease_}; }

    /*! @brief Replaces the contents by the copy; its history is gone, and revisions and leases are given out again. */
    auto restore() -> void
    {
        items_ = copy_.items;
        revision_ = copy_.revision;
        lastLease_ = copy_.lastLease;
        historyStart_ = revision_;
        changes_.clear();
        ++era_;
        for (auto &[name, watch] : std::exchange(watches_, {})) {
            watch.respond({503, {}, {}, {}});
        }
    }

    /*! @brief Returns the value of an item in base64, or nothing. */
    [[nodiscard]] auto find(const std::string &key) const -> std::optional<std::string>
    {
        const auto found = items_.find(key);
        return found == items_.end() ? std::nullopt : std::optional{found->second.at("value").get<std::string>()};
    }

    /*! @brief Freezes the data returned to reads that allow stale results at its current state. */
    auto freezeStaleReads() -> void { staleItems_ = items_; }

    bool hasNoHistory{}; /*!< Whether every watch is answered with 410. */
    bool down{}; /*!< Whether calls at all addresses are answered with 503 and have no effect. */
    std::size_t calls{}; /*!< Cumulative count of calls. */
    std::size_t renewals{}; /*!< Cumulative count of lease renewals. */

private:
    struct Copy {
        std::map<std::string, Json> items;
        std::uint64_t revision{};
        std::uint64_t lastLease{};
    };

    struct Watch {
        std::uint64_t after{};
        sidecar::HttpServer::Respond respond;
    };

    static auto ok(const Json &body) -> mesh::Answer { return {200, {}, {}, body.dump()}; }

    static auto queryNumber(const std::string &target, const std::string &name) -> std::uint64_t
    {
        std::uint64_t value{};
        if (const auto at = target.find(name + "="); at != std::string::npos) {
            std::from_chars(target.data() + at + name.size() + 1, target.data() + target.size(), value);
        }
        return value;
    }

    auto answer(const mesh::Request &request, sidecar::HttpServer::Respond respond) -> void
    {
        ++calls;
        if (down) {
            respond({503, {}, {}, {}});
            return;
        }
        const auto &target = request.target;
        if (target.starts_with("/v1/kv-range")) {
            const auto isStale = staleItems_ && target.find("allow-stale=1") != std::string::npos;
            Json items = Json::array();
            for (const auto &[key, item] : isStale ? *staleItems_ : items_) {
                items.push_back(item);
            }
            respond(ok({{"items", items}, {"has-more", false}, {"current-rev", revision_}}));
        } else if (target.starts_with("/v1/kv-watch")) {
            watch(target, std::move(respond));
        } else if (target == "/v1/kv-txn") {
            const auto body = Json::parse(request.body);
            if (const auto conflicts = conflictsOf(body)) {
                Json reply;
                reply["items"] = *conflicts;
                respond({412, {}, {}, reply.dump()});
                return;
            }
            change(body);
            respond(ok({{"revision", revision_}}));
        } else if (target == "/v1/kv-lease") {
            respond(ok({{"lease", ++lastLease_}, {"ttl_time", "10000ms"}}));
        } else {
            renewals += target.starts_with("/v1/kv-keep") ? 1 : 0;
            respond(ok({{"ttl_time", "10000ms"}}));
        }
    }

    /*! @brief Returns the expected items as they are, or nothing if all have the revision that is expected. */
    [[nodiscard]] auto conflictsOf(const Json &body) const -> std::optional<Json>
    {
        Json present = Json::array();
        auto isExpected = true;
        for (const auto &item : body.at("expected-revision")) {
            const auto found = items_.find(item.at("key").get<std::string>());
            const auto revision = found == items_.end() ? Json(0) : found->second.at("revision");
            isExpected = isExpected && revision == item.at("revision");
            if (found != items_.end()) {
                present.push_back(found->second);
            }
        }
        return isExpected ? std::nullopt : std::optional{std::move(present)};
    }

    auto watch(const std::string &target, sidecar::HttpServer::Respond respond) -> void
    {
        const auto after = queryNumber(target, "after");
        if (hasNoHistory || after > revision_ || after < historyStart_) {
            respond({410, {}, {}, {}});
            return;
        }
        const auto name = ++lastWatch_;
        watches_[name] = {after, std::move(respond)};
        loop_->after(std::chrono::milliseconds{queryNumber(target, "wait-ms")}, [this, name] { finishWatch(name); });
        wakeWatches();
    }

    auto change(const Json &body) -> void
    {
        for (const auto &item : body.at("puts")) {
            put(item.at("key").get<std::string>(), item.at("value").get<std::string>());
        }
        for (const auto &key : body.at("deletes")) {
            items_.erase(key.get<std::string>());
            changes_.push_back({{"key", key}, {"revision", ++revision_}, {"removed", true}});
        }
        wakeWatches();
    }

    auto wakeWatches() -> void
    {
        std::vector<std::uint64_t> due;
        for (const auto &[name, watch] : watches_) {
            if (!changes_.empty() && changes_.back().at("revision").get<std::uint64_t>() > watch.after) {
                due.push_back(name);
            }
        }
        for (const auto name : due) {
            finishWatch(name);
        }
    }

    auto finishWatch(const std::uint64_t name) -> void
    {
        const auto found = watches_.find(name);
        if (found == watches_.end()) {
            return;
        }
        const auto watch = std::move(found->second);
        watches_.erase(found);
        Json events = Json::array();
        for (const auto &change : changes_) {
            if (change.at("revision").get<std::uint64_t>() > watch.after) {
                events.push_back(change);
            }
        }
        watch.respond(down ? mesh::Answer{503, {}, {}, {}} : ok({{"events", events}, {"current-rev", revision_}}));
    }

    event::Loop *loop_;
    std::map<std::string, Json> items_;
    std::optional<std::map<std::string, Json>> staleItems_;
    std::vector<Json> changes_;
    std::map<std::uint64_t, Watch> watches_;
    std::uint64_t revision_{10};
    std::uint64_t historyStart_{}; /*!< Revision after which changes are kept. */
    std::uint64_t era_{1};
    Copy copy_;
    std::uint64_t lastLease_{};
    std::uint64_t lastWatch_{};
    std::list<Address> addresses_;
};

} // namespace jasminelatch::test

#endif

#ifndef JASMINELATCH_TEST_CONNECTION_TWO_NODES_HPP
#define JASMINELATCH_TEST_CONNECTION_TWO_NODES_HPP

#include <jasminelatch/connection/monitor.hpp>

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::connection::test {

inline const NodeAddress asker{"10.0.0.1:7000"};
inline const NodeAddress responder{"10.0.0.2:7000"};

/*! @brief Request or answer as the node would send it. */
struct Work {
    RequestId id;
    bool isAnswer{};
    Incarnation target{}; /*!< For a request: the incarnation it is meant for. */
};

/*! @brief Message on its way. */
struct Envelope {
    std::variant<Message, Work> content;
    bool toResponder{};
    TimePoint arrival;
};

/*! @brief Faults of the network between the two nodes. */
struct Network {
    bool mute{}; /*!< The present connection carries nothing to the responder any more. */
    bool deaf{}; /*!< The present connection carries nothing to the asker any more. */
    bool cut{}; /*!< No new connection can be opened. */
    Duration longestDelay{std::chrono::milliseconds{5}}; /*!< Messages are delayed up to this, so they overtake. */
    double doubledShare{0.1}; /*!< Share of messages that arrive twice, also at a later incarnation. */
};

/**
 * @brief One node that asks and one that answers, with a network that fails between them.
 *
 * The oracle remembers what really ran; `NotRun` for a request that ran, before or after, is an error.
 */
class TwoNodes
{
public:
    explicit TwoNodes(const std::uint64_t seed)
        : random_{seed}
    {
        clock_.pause();
        startAsker();
        startResponder();
        connect();
    }

    Network network;
    std::map<RequestId, Outcome> outcomes; /*!< Final outcomes told. */
    std::set<RequestId> answered; /*!< Requests whose answer arrived in time. */
    std::set<RequestId> sent; /*!< All requests. */
    std::set<RequestId> confirmed; /*!< Requests sent to a confirmed peer, as orders are. */
    std::multiset<RequestId> ran; /*!< What the responder really ran, over all its incarnations. */
    std::vector<TimePoint> reopened; /*!< When a new connection was asked for. */
    int twice{}; /*!< Requests with more than one final outcome. */

    [[nodiscard]] auto now() const -> TimePoint { return clock_.now(); }
    [[nodiscard]] auto counters() -> Counters & { return counters_; }
    [[nodiscard]] auto monitor() -> Monitor & { return *asking_; }

    auto send() -> RequestId
    {
        const RequestId id{std::to_string(sent.size() + 1)};
        sent.insert(id);
        const auto target = asking_->sent(responder, id);
        if (target != 0) {
            confirmed.insert(id);
        }
        post(Work{id, false, target}, true);
        return id;
    }

    /*! @brief The responder restarts with empty memory; what was running there is lost. */
    auto restartResponder() -> void
    {
        busy_.clear();
        startResponder();
        // A new process has no part in the old connection.
        network.mute = true;
        network.deaf = true;
    }

    auto advance(const Duration length) -> void
    {
        for (auto passed = Duration::zero(); passed < length; passed += step) {
            clock_.advance(step);
            deliver();
            finishWork();
            asking_->tick();
            answering_->tick();
            cache_->tick();
        }
    }

private:
    static constexpr Duration step = std::chrono::milliseconds{10};

    auto startAsker() -> void
    {
        askerCache_.emplace(CacheSettings{}, 1, clock_, counters_, AnswerCache::Hooks{});
        asking_.emplace(Settings{},
                        clock_,
                        counters_,
                        *askerCache_,
                        Monitor::Hooks{[this](const NodeAddress &, const Message &message) { post(message, true); },
                                       [this](const NodeAddress &) { reopen(); },
                                       [this](const RequestId &id, const Outcome outcome) { conclude(id, outcome); },
                                       [](const NodeAddress &) {
                                       }});
    }

    auto startResponder() -> void
    {
        const auto resend = [this](const NodeAddress &, const RequestId &id, std::string_view) {
            post(Work{id, true}, false);
        };
        cache_.emplace(CacheSettings{}, ++incarnation_, clock_, counters_, AnswerCache::Hooks{resend});
        answering_.emplace(Settings{},
                           clock_,
                           counters_,
                           *cache_,
                           Monitor::Hooks{[this](const NodeAddress &, const Message &message) { post(message, false); },
                                          [](const NodeAddress &) {},
                                          [](const RequestId &, Outcome) {},
                                          [](const NodeAddress &) {
                                          }});
    }

    auto connect() -> void
    {
        network.mute = false;
        network.deaf = false;
        asking_->opened(responder);
    }

    auto reopen() -> void
    {
        reopened.push_back(clock_.now());
        if (!network.cut) {
            connect();
        }
    }

    auto conclude(const RequestId &id, const Outcome outcome) -> void
    {
        twice += outcomes.emplace(id, outcome).second && !answered.contains(id) ? 0 : 1;
    }

    auto post(const std::variant<Message, Work> &content, const bool toResponder) -> void
    {
        if (toResponder ? network.mute : network.deaf) {
            return;
        }
        const auto copies = std::bernoulli_distribution{network.doubledShare}(random_) ? 2 : 1;
        const auto longest = network.longestDelay.count();
        for (auto copy = 0; copy < copies; ++copy) {
            const Duration delay{std::uniform_int_distribution<Duration::rep>{0, longest}(random_)};
            underway_.push_back({content, toResponder, clock_.now() + delay});
        }
    }

    auto deliver() -> void
    {
        std::vector<Envelope> due;
        for (auto position = underway_.begin(); position != underway_.end();) {
            if (position->arrival > clock_.now()) {
                ++position;
                continue;
            }
            due.push_back(std::move(*position));
            position = underway_.erase(position);
        }
        for (const auto &envelope : due) {
            deliverOne(envelope);
        }
    }

    auto deliverOne(const Envelope &envelope) -> void
    {
        if (const auto *message = std::get_if<Message>(&envelope.content)) {
            envelope.toResponder ? answering_->receive(asker, *message) : asking_->receive(responder, *message);
            return;
        }
        const auto &work = std::get<Work>(envelope.content);
        if (!work.isAnswer) {
            take(work);
        } else if (asking_->answered(responder, work.id)) {
            twice += answered.insert(work.id).second && !outcomes.contains(work.id) ? 0 : 1;
        }
    }

    auto take(const Work &work) -> void
    {
        if (cache_->begin(work.id, work.target)) {
            ran.insert(work.id);
            busy_.emplace_back(clock_.now() + std::chrono::milliseconds{40}, work.id);
        }
    }

    auto finishWork() -> void
    {
        while (!busy_.empty() && busy_.front().first <= clock_.now()) {
            cache_->complete(busy_.front().second, "answer");
            post(Work{busy_.front().second, true}, false);
            busy_.pop_front();
        }
    }

    std::mt19937_64 random_;
    Clock clock_;
    Counters counters_;
    std::optional<AnswerCache> askerCache_;
    std::optional<AnswerCache> cache_;
    std::optional<Monitor> asking_;
    std::optional<Monitor> answering_;
    std::vector<Envelope> underway_;
    std::deque<std::pair<TimePoint, RequestId>> busy_;
    Incarnation incarnation_{100};
};

} // namespace jasminelatch::connection::test

#endif

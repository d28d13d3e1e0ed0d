#ifndef JASMINELATCH_TEST_ADMISSION_BACKEND_MODEL_HPP
#define JASMINELATCH_TEST_ADMISSION_BACKEND_MODEL_HPP

#include <jasminelatch/admission/controller.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace jasminelatch::admission::test {

/*! @brief What the backend server can really do at some time. */
struct Capability {
    double slots{70}; /*!< Requests that run at once. */
    double slowness{1.0}; /*!< Factor on every service time. */
};

/*! @brief One experiment: open-loop demand on one backend server behind one controller. */
struct Experiment {
    Mode mode{Mode::Adaptive}; /*!< How work is admitted. */
    std::size_t queueLimit{512}; /*!< Longest queue. */
    std::uint64_t seed{1}; /*!< Seed of arrivals and service times. */
    std::uint32_t announcedSlots{70}; /*!< What the backend server says at the start. */
    std::uint32_t connections{500}; /*!< Connections it accepts; more are shed. */
    double shedAbove{1e9}; /*!< Requests beyond the real slots at which it sheds. */
    membership::EndpointState state{membership::EndpointState::Ready}; /*!< State it announces. */
    std::function<Capability(Duration)> capability{[](Duration) {
        return Capability{};
    }}; /*!< By time. */
    std::function<std::optional<std::uint32_t>(Duration)> report{[](Duration) {
        return std::nullopt;
    }}; /*!< Slots. */
    double load{2.0}; /*!< Demand over the capacity of 70 slots. */
    Duration length{std::chrono::seconds{8}}; /*!< Length. */
    Duration measureFrom{std::chrono::seconds{2}}; /*!< Start of the measurement. */
};

/*! @brief Tenths of the demand that each importance and each account ask for. */
inline constexpr std::array<double, importanceCount> importanceShares{1, 2, 3, 4};
inline constexpr std::array<double, 4> accountShares{5, 3, 1, 1};

/*! @brief What an experiment showed. */
struct Measured {
    double goodput{}; /*!< Whole answers within the deadline over what the real slots could give. */
    std::array<double, importanceCount> served{}; /*!< The same over the demand, by importance. */
    std::array<double, accountShares.size()> byAccount{}; /*!< Goodput of each account. */
};

/*! @brief Backend server with slots, a queue of its own and random service times, in steps of one millisecond. */
class BackendModel
{
public:
    explicit BackendModel(Experiment experiment)
        : experiment_{std::move(experiment)}
        , random_{experiment_.seed}
    {
        clock_.pause();
        Settings settings;
        settings.mode = experiment_.mode;
        settings.queueLimit = experiment_.queueLimit;
        controller_.emplace(settings,
                            clock_,
                            counters_,
                            Controller::Hooks{[this](const RequestId &id) { starting_.push_back(id); },
                                              [this](const RequestId &id, const Refusal &) {
                                                  requests_.erase(id);
                                              }});
        controller_->setCapacity(experiment_.announcedSlots, experiment_.connections, experiment_.state);
    }

    auto run() -> Measured
    {
        using namespace std::chrono_literals;
        for (now_ = 0ms; now_ < experiment_.length; now_ += 1ms) {
            if (const auto slots = experiment_.report(now_)) {
                controller_->setCapacity(*slots, experiment_.connections, experiment_.state);
            }
            arrive();
            serve();
            clock_.advance(1ms);
            if (now_ % 20ms == 0ms) {
                controller_->tick();
            }
        }
        measured_.goodput /= possible_;
        for (auto &account : measured_.byAccount) {
            account /= possible_;
        }
        for (std::size_t rank = 0; rank < importanceCount; ++rank) {
            measured_.served.at(rank) /= demand_.at(rank);
        }
        return measured_;
    }

    [[nodiscard]] auto controller() const -> const Controller & { return *controller_; }

private:
    static constexpr double serviceMilliseconds = 40.0;
    static constexpr Duration timeout = std::chrono::milliseconds{300};

    struct Request {
        Item item;
        TimePoint started;
        double work{};
        bool counted{};
    };

    [[nodiscard]] auto isMeasured() const -> bool { return now_ >= experiment_.measureFrom; }

    auto arrive() -> void
    {
        const auto rate = experiment_.load * 70.0 / serviceMilliseconds;
        const auto count = std::poisson_distribution<int>{rate}(random_);
        for (auto index = 0; index < count; ++index) {
            submitOne();
        }
    }

    auto draw(const std::array<double, 4> &shares) -> int
    {
        return std::discrete_distribution<int>{shares.begin(), shares.end()}(random_);
    }

    auto submitOne() -> void
    {
        const auto importance = draw(importanceShares);
        const auto account = draw(accountShares);
        const auto work = std::uniform_real_distribution<double>{0.5, 1.5}(random_)*serviceMilliseconds;
        Request request;
        request.item.id = RequestId{std::to_string(++number_)};
        request.item.importance = static_cast<record::Importance>(importance);
        request.item.account = AccountName{std::to_string(account)};
        request.item.deadline = clock_.now() + timeout;
        request.work = work;
        request.counted = isMeasured();
        demand_.at(request.item.importance) += request.counted ? 1.0 : 0.0;
        const auto item = request.item;
        requests_.emplace(item.id, std::move(request));
        controller_->submit(item);
    }

    auto serve() -> void
    {
        const auto real = experiment_.capability(now_);
        takeIn(real);
        const auto slots = static_cast<std::size_t>(std::max(1.0, real.slots));
        std::vector<RequestId> done;
        for (std::size_t index = 0; index < std::min(slots, atBackend_.size()); ++index) {
            auto &request = requests_.at(atBackend_[index]);
            request.work -= 1.0 / real.slowness;
            if (request.work <= 0) {
                done.push_back(request.item.id);
            }
        }
        if (isMeasured()) {
            possible_ += static_cast<double>(slots) / (serviceMilliseconds * real.slowness);
        }
        for (const auto &id : done) {
            atBackend_.erase(std::find(atBackend_.begin(), atBackend_.end(), id));
            finish(id, Result::Ok);
        }
    }

    auto takeIn(const Capability &real) -> void
    {
        while (!starting_.empty()) {
            const auto id = starting_.front();
            starting_.pop_front();
            requests_.at(id).started = clock_.now();
            const auto isFull = static_cast<double>(atBackend_.size()) >= real.slots + experiment_.shedAbove;
            if (isFull || atBackend_.size() >= experiment_.connections) {
                finish(id, Result::ShedByBackend);
            } else {
                atBackend_.push_back(id);
            }
        }
    }

    auto finish(const RequestId &id, const Result result) -> void
    {
        const auto request = std::move(requests_.extract(id).mapped());
        if (result == Result::Ok && clock_.now() <= request.item.deadline && request.counted) {
            measured_.goodput += 1.0;
            measured_.served.at(request.item.importance) += 1.0;
            measured_.byAccount.at(std::stoul(request.item.account.text())) += 1.0;
        }
        controller_->finish(id, {clock_.now() - request.started, result});
    }

    Experiment experiment_;
    std::mt19937_64 random_;
    Clock clock_;
    Counters counters_;
    std::optional<Controller> controller_;
    Duration now_{};
    std::uint64_t number_{};
    std::map<RequestId, Request> requests_;
    std::deque<RequestId> starting_;
    std::deque<RequestId> atBackend_;
    Measured measured_;
    double possible_{};
    std::array<double, importanceCount> demand_{};
};

} // namespace jasminelatch::admission::test

#endif

#include "store_channel.hpp"

#include <utility>

namespace jasminelatch::sidecar {

namespace internal {

/*! @brief Size limit of a store answer: values and pages hold up to 1 MB, and base64 lengthens them by a third.
 */
constexpr std::size_t maxAnswerBytes = std::size_t{8} << 20;

} // namespace internal

StoreChannel::StoreChannel(event::Loop &loop, event::Endpoint endpoint)
    : loop_{&loop}
    , endpoint_{std::move(endpoint)}
{
}

StoreChannel::~StoreChannel()
{
    loop_->cancel(timer_);
}

auto StoreChannel::call(mesh::Request request, const Duration timeout, Callback callback) -> void
{
    request.fields.push_back({"Host", event::toText(endpoint_)});
    if (!request.body.empty()) {
        request.fields.push_back({"Content-Type", "application/json"});
    }
    pending_.push_back({std::move(request), timeout, std::move(callback)});
    if (!isBusy_) {
        sendNext();
    }
}

auto StoreChannel::reset() -> void
{
    loop_->cancel(timer_);
    dropConnection();
    pending_.clear();
    isBusy_ = false;
}

auto StoreChannel::sendNext() -> void
{
    if (pending_.empty()) {
        return;
    }
    isBusy_ = true;
    if (connection_ && !connection_->isReusable()) {
        dropConnection();
    }
    if (!connection_) {
        connection_ = std::make_unique<HttpConnection>(
            *loop_,
            endpoint_,
            HttpConnection::Settings{.maxAnswerBytes = internal::maxAnswerBytes},
            HttpConnection::Hooks{[this](HttpConnection::Result result) { handleResult(std::move(result)); },
                                  [this] {
                                      dropConnection();
                                  }});
    }
    timer_ = loop_->after(pending_.front().timeout, [this] {
        timer_ = 0;
        dropConnection();
        handleResult({std::nullopt, "no answer in time", true});
    });
    connection_->send(pending_.front().request);
}

auto StoreChannel::handleResult(HttpConnection::Result result) -> void
{
    loop_->cancel(timer_);
    if (!result.answer) {
        dropConnection();
    }
    const auto callback = std::move(pending_.front().callback);
    pending_.pop_front();
    isBusy_ = false;
    callback(std::move(result));
    if (!isBusy_) {
        sendNext();
    }
}

auto StoreChannel::dropConnection() -> void
{
    if (connection_) {
        connection_->abandon();
        loop_->destroyLater(std::move(connection_));
    }
}

} // namespace jasminelatch::sidecar

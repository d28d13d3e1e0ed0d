#include "locator.hpp"

#include "hash.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

namespace jasminelatch::membership::internal {

constexpr Duration lookUpJitter = std::chrono::milliseconds{200};
constexpr std::uint64_t spreadLimit = 32; // Indexes.

// Reads the holder from a lease record, whose other fields belong to the lease module.
auto leaseHolder(const std::string &value) -> std::optional<NodeAddress>
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    if (!json.is_object() || json.value("released", false)) {
        return {};
    }
    const auto position = json.find("holder");
    if (position == json.end() || !position->is_string() || position->get_ref<const std::string &>().empty()) {
        return {};
    }
    return position->get<NodeAddress>();
}

Locator::Locator(const Context &context)
    : context_{&context}
    , store_{context}
    , backoff_{context.settings}
    , random_{Hasher{}.add(context.self).add(context.incarnation).result()}
    , notBefore_{context.now()}
{
}

auto Locator::start() -> void
{
    listing_ = true;
    notBefore_ = context_->now() + jitter(lookUpJitter);
}

auto Locator::tick(const bool silent) -> void
{
    if (busy_ || context_->now() < notBefore_) {
        return;
    }
    if (listing_) {
        list();
    } else if (silent) {
        readLease();
    }
}

auto Locator::moveOn(const bool wasFull) -> void
{
    if (!cell_) {
        return;
    }
    if (contending_) {
        contending_ = false;
        context_->hooks.stopContending(*cell_);
    }
    if (const auto index = cellIndex(cell_->text(), context_->domain)) {
        excluded_.insert(*index);
    }
    refusals_ += wasFull ? 1U : 0U;
    cell_.reset();
    holder_.reset();
    listing_ = true;
    notBefore_ = context_->now() + jitter(lookUpJitter);
}

auto Locator::lookUp(const bool forget) -> void
{
    if (!cell_) {
        return;
    }
    if (forget) {
        holder_.reset();
    }
    backoff_.reset();
    notBefore_ = context_->now() + jitter(lookUpJitter);
}

auto Locator::setHolder(const NodeAddress &holder) -> void
{
    holder_ = holder;
}

auto Locator::handleHolderHeard() -> void
{
    excluded_.clear();
    refusals_ = 0;
    backoff_.reset();
    if (contending_) {
        contending_ = false;
        context_->hooks.stopContending(*cell_);
    }
}

auto Locator::list() -> void
{
    busy_ = true;
    store_.call({.operation = store::Operation::Watch, .key = std::string{cellPrefix}},
                [this](const store::Answer &answer) { handleList(answer); });
}

auto Locator::handleList(const store::Answer &answer) -> void
{
    if (!noteAnswer(answer)) {
        return;
    }
    listing_ = false;
    cell_ = cellRight(context_->domain, choose(answer.entries));
    ++joins_;
    notBefore_ = context_->now();
    LOG(INFO) << "membership: joins cell " << *cell_;
}

auto Locator::choose(const std::vector<store::Entry> &entries) -> std::size_t
{
    std::map<std::size_t, std::size_t> sizes;
    for (const auto &entry : entries) {
        const auto index = cellIndex(entry.key, context_->domain);
        if (!index) {
            continue;
        }
        const auto record = parseCellRecord(entry.value);
        sizes[*index] = record ? record->members.size() : context_->settings.cellSize;
        const auto isSelf = [&](const MemberRecord &member) {
            return member.endpoint.node == context_->self;
        };
        if (record && !excluded_.contains(*index) && std::ranges::any_of(record->members, isSelf)) {
            return *index;
        }
    }
    std::vector<std::size_t> open;
    for (const auto &[index, size] : sizes) {
        if (size < context_->settings.cellSize && !excluded_.contains(index)) {
            open.push_back(index);
        }
    }
    if (!open.empty() && refusals_ > 0) {
        return open[random_() % open.size()];
    }
    if (!open.empty()) {
        return *std::ranges::max_element(open, {}, [&](const std::size_t index) { return sizes[index]; });
    }
    // Nodes that are refused together spread over ever more new cells.
    const auto spread = std::min(spreadLimit, std::uint64_t{1} << std::min<std::uint64_t>(refusals_, 5));
    auto skip = random_() % spread;
    std::size_t index = 0;
    while (sizes.contains(index) || excluded_.contains(index) || skip-- > 0) {
        ++index;
    }
    return index;
}

auto Locator::readLease() -> void
{
    busy_ = true;
    store_.call({.operation = store::Operation::Get, .key = std::string{leasePrefix} + cell_->text()},
                [this, cell = *cell_](const store::Answer &answer) {
                    if (cell_ == cell) {
                        handleLease(answer);
                    } else {
                        busy_ = false;
                    }
                });
}

auto Locator::handleLease(const store::Answer &answer) -> void
{
    if (!noteAnswer(answer)) {
        return;
    }
    const auto delay = backoff_.take();
    notBefore_ = context_->now() + delay / 2 + jitter(delay);
    const auto found =
        answer.entries.empty() ? std::optional<NodeAddress>{} : leaseHolder(answer.entries.front().value);
    const auto isNew = found && found != holder_ && *found != context_->self;
    holder_ = found;
    if (!isNew) {
        contend();
    }
}

auto Locator::contend() -> void
{
    if (!contending_) {
        context_->count("membership.contends_for_cell");
    }
    contending_ = true;
    context_->hooks.contend(*cell_);
}

auto Locator::noteAnswer(const store::Answer &answer) -> bool
{
    busy_ = false;
    storeUp_ = answer.status != store::Status::Unknown;
    if (storeUp_) {
        storeAnswered_ = true;
        return true;
    }
    context_->count("membership.store_unanswered");
    const auto delay = backoff_.take();
    notBefore_ = context_->now() + delay / 2 + jitter(delay);
    return false;
}

auto Locator::jitter(const Duration limit) -> Duration
{
    return Duration{static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>(limit.count()))};
}

} // namespace jasminelatch::membership::internal

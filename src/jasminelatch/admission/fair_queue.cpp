#include "fair_queue.hpp"

#include <algorithm>
#include <utility>

namespace jasminelatch::admission {

auto FairQueue::push(Item item) -> void
{
    auto &lane = lanes_.at(item.importance);
    auto &queue = lane.accounts[item.account];
    if (queue.empty()) {
        lane.turns.push_back(item.account);
    }
    places_.emplace(item.id, Place{item.importance, item.account});
    queue.push_back(std::move(item));
    ++lane.size;
}

auto FairQueue::front() const -> const Item *
{
    const auto lane = std::find_if(lanes_.begin(), lanes_.end(), [](const Lane &each) { return each.size > 0; });
    return lane == lanes_.end() ? nullptr : &lane->accounts.at(lane->turns.front()).front();
}

auto FairQueue::pop() -> std::optional<Item>
{
    const auto lane = std::find_if(lanes_.begin(), lanes_.end(), [](const Lane &each) { return each.size > 0; });
    if (lane == lanes_.end()) {
        return std::nullopt;
    }
    const auto account = lane->turns.front();
    lane->turns.pop_front();
    const auto queue = lane->accounts.find(account);
    auto item = std::move(queue->second.front());
    queue->second.pop_front();
    --lane->size;
    if (queue->second.empty()) {
        lane->accounts.erase(queue);
    } else {
        lane->turns.push_back(account);
    }
    forget(item);
    return item;
}

auto FairQueue::remove(const RequestId &id) -> bool
{
    const auto place = places_.find(id);
    if (place == places_.end()) {
        return false;
    }
    auto &lane = lanes_.at(place->second.importance);
    const auto account = place->second.account;
    auto &queue = lane.accounts.at(account);
    queue.erase(std::find_if(queue.begin(), queue.end(), [&](const Item &item) { return item.id == id; }));
    --lane.size;
    dropIfEmpty(lane, account);
    places_.erase(place);
    return true;
}

auto FairQueue::evictFor(const Item &item) -> std::optional<Item>
{
    const auto worst = leastImportantQueued();
    if (!worst || *worst < item.importance) {
        return std::nullopt;
    }
    auto &lane = lanes_.at(*worst);
    const auto longest = std::max_element(lane.accounts.begin(), lane.accounts.end(), [](auto &left, auto &right) {
        return left.second.size() < right.second.size();
    });
    if (*worst == item.importance) {
        const auto own = lane.accounts.find(item.account);
        const auto ownSize = own == lane.accounts.end() ? 1 : own->second.size() + 1;
        if (ownSize >= longest->second.size()) {
            return std::nullopt;
        }
    }
    auto evicted = takeNewest(lane, longest->first);
    forget(evicted);
    return evicted;
}

auto FairQueue::removeIf(const std::function<bool(const Item &)> &condition) -> std::vector<Item>
{
    std::vector<Item> removed;
    for (const auto &lane : lanes_) {
        for (const auto &[account, queue] : lane.accounts) {
            std::copy_if(queue.begin(), queue.end(), std::back_inserter(removed), condition);
        }
    }
    for (const auto &item : removed) {
        remove(item.id);
    }
    return removed;
}

auto FairQueue::ahead(const record::Importance importance, const AccountName &account) const -> std::size_t
{
    std::size_t count = 0;
    for (std::size_t rank = 0; rank < importance; ++rank) {
        count += lanes_.at(rank).size;
    }
    const auto &accounts = lanes_.at(importance).accounts;
    const auto own = accounts.find(account);
    const auto ownSize = own == accounts.end() ? 0 : own->second.size();
    for (const auto &[other, queue] : accounts) {
        count += other == account ? ownSize : std::min(queue.size(), ownSize + 1);
    }
    return count;
}

auto FairQueue::leastImportantQueued() const -> std::optional<record::Importance>
{
    for (auto rank = importanceCount; rank > 0; --rank) {
        if (lanes_.at(rank - 1).size > 0) {
            return static_cast<record::Importance>(rank - 1);
        }
    }
    return std::nullopt;
}

auto FairQueue::size() const noexcept -> std::size_t
{
    return places_.size();
}

auto FairQueue::takeNewest(Lane &lane, const AccountName &account) -> Item
{
    auto &queue = lane.accounts.at(account);
    auto item = std::move(queue.back());
    queue.pop_back();
    --lane.size;
    dropIfEmpty(lane, account);
    return item;
}

auto FairQueue::dropIfEmpty(Lane &lane, const AccountName &account) -> void
{
    const auto queue = lane.accounts.find(account);
    if (!queue->second.empty()) {
        return;
    }
    lane.turns.erase(std::find(lane.turns.begin(), lane.turns.end(), account));
    lane.accounts.erase(queue);
}

auto FairQueue::forget(const Item &item) -> void
{
    places_.erase(item.id);
}

} // namespace jasminelatch::admission

#include <jasminelatch/admission/fair_queue.hpp>
#include <jasminelatch/admission/fair_share.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace jasminelatch::admission {

namespace {

auto makeItem(const int number, const int importance, const int account) -> Item
{
    Item item;
    item.id = RequestId{std::to_string(number)};
    item.importance = static_cast<record::Importance>(importance);
    item.account = AccountName{std::to_string(account)};
    return item;
}

/*! @brief Oracle: all queued requests in order of arrival. */
class Model
{
public:
    std::vector<Item> items;

    [[nodiscard]] auto count(const record::Importance importance, const AccountName &account) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(items.begin(), items.end(), [&](const Item &item) {
            return item.importance == importance && item.account == account;
        }));
    }

    [[nodiscard]] auto worst() const -> int
    {
        auto worst = -1;
        for (const auto &item : items) {
            worst = std::max(worst, static_cast<int>(item.importance));
        }
        return worst;
    }

    [[nodiscard]] auto best() const -> int
    {
        auto best = static_cast<int>(importanceCount);
        for (const auto &item : items) {
            best = std::min(best, static_cast<int>(item.importance));
        }
        return best;
    }

    [[nodiscard]] auto longest(const record::Importance importance) const -> std::size_t
    {
        std::size_t longest = 0;
        for (const auto &item : items) {
            longest = std::max(longest, count(importance, item.account));
        }
        return longest;
    }

    [[nodiscard]] auto isOldest(const Item &item) const -> bool { return isFirst(items.begin(), items.end(), item); }
    [[nodiscard]] auto isNewest(const Item &item) const -> bool { return isFirst(items.rbegin(), items.rend(), item); }

    auto erase(const RequestId &id) -> bool
    {
        return std::erase_if(items, [&](const Item &item) { return item.id == id; }) > 0;
    }

private:
    template<typename Iterator>
    static auto isFirst(Iterator begin, Iterator end, const Item &item) -> bool
    {
        const auto found = std::find_if(begin, end, [&](const Item &each) {
            return each.importance == item.importance && each.account == item.account;
        });
        return found != end && found->id == item.id;
    }
};

auto checkEviction(FairQueue &queue, Model &model, const Item &item) -> void
{
    const auto worst = model.worst();
    const auto evicted = queue.evictFor(item);
    if (!evicted) {
        const auto own = model.count(item.importance, item.account) + 1;
        RC_ASSERT(worst < item.importance || (worst == item.importance && own >= model.longest(item.importance)));
        return;
    }
    RC_ASSERT(static_cast<int>(evicted->importance) == worst);
    RC_ASSERT(evicted->importance >= item.importance);
    RC_ASSERT(model.count(evicted->importance, evicted->account) == model.longest(evicted->importance));
    RC_ASSERT(model.isNewest(*evicted));
    RC_ASSERT(model.erase(evicted->id));
}

auto checkPop(FairQueue &queue, Model &model) -> void
{
    const auto item = queue.pop();
    RC_ASSERT(item.has_value() != model.items.empty());
    if (item) {
        RC_ASSERT(static_cast<int>(item->importance) == model.best());
        RC_ASSERT(model.isOldest(*item));
        RC_ASSERT(model.erase(item->id));
    }
}

} // namespace

RC_GTEST_PROP(FairQueue, ShedsTheLeastImportantAndServesTheMostImportant, ())
{
    FairQueue queue;
    Model model;
    const auto steps = *rc::gen::inRange(1, 150);
    for (auto step = 0; step < steps; ++step) {
        const auto item = makeItem(step, *rc::gen::inRange(0, 4), *rc::gen::inRange(0, 4));
        switch (*rc::gen::weightedElement<int>({{5, 0}, {2, 1}, {2, 2}, {1, 3}})) {
        case 0:
            queue.push(item);
            model.items.push_back(item);
            break;
        case 1:
            checkPop(queue, model);
            break;
        case 2:
            checkEviction(queue, model, item);
            break;
        default:
            const RequestId id{std::to_string(*rc::gen::inRange(0, steps))};
            RC_ASSERT(queue.remove(id) == model.erase(id));
        }
        RC_ASSERT(queue.size() == model.items.size());
    }
    while (!model.items.empty()) {
        checkPop(queue, model);
    }
    RC_ASSERT(!queue.pop().has_value());
}

RC_GTEST_PROP(FairQueue, GivesAccountsTheirMaxMinShare, ())
{
    const auto demands = *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(0, 60));
    const auto capacity = *rc::gen::inRange(1, 150);
    FairQueue queue;
    auto number = 0;
    for (auto account = 0; account < 5; ++account) {
        for (auto count = 0; count < demands[account]; ++count) {
            queue.push(makeItem(++number, 2, account));
        }
    }
    std::map<AccountName, double> served;
    for (auto count = 0; count < capacity; ++count) {
        if (const auto item = queue.pop()) {
            served[item->account] += 1.0;
        }
    }
    const auto share = fairShare({demands.begin(), demands.end()}, capacity);
    for (auto account = 0; account < 5; ++account) {
        const auto expected = std::min<double>(demands[account], share);
        RC_ASSERT(std::abs(served[AccountName{std::to_string(account)}] - expected) <= 1.0);
    }
}

RC_GTEST_PROP(FairQueue, CountsWhatIsServedBefore, ())
{
    FairQueue queue;
    const auto size = *rc::gen::inRange(0, 60);
    for (auto number = 0; number < size; ++number) {
        queue.push(makeItem(number, *rc::gen::inRange(0, 4), *rc::gen::inRange(0, 4)));
    }
    const auto item = makeItem(1000, *rc::gen::inRange(0, 4), *rc::gen::inRange(0, 4));
    const auto ahead = queue.ahead(item.importance, item.account);
    queue.push(item);
    std::size_t served = 0;
    while (queue.pop()->id != item.id) {
        ++served;
    }
    RC_ASSERT(served <= ahead);
    RC_ASSERT(ahead <= served + 4);
}

} // namespace jasminelatch::admission

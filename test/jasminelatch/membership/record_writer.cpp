#include <jasminelatch/membership/record_writer.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <support/fake_store.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>

using namespace std::chrono_literals;

namespace jasminelatch::membership::internal {

namespace {

using jasminelatch::test::FakeStore;
using jasminelatch::test::StoreFault;

auto memberNamed(const std::string &name) -> MemberRecord
{
    return {.endpoint = {.node = NodeAddress{name}, .service = ServiceName{"s"}}, .incarnation = 1};
}

auto addTo(std::vector<MemberRecord> &members, const MemberRecord &added) -> void
{
    const auto isSame = [&](const MemberRecord &member) {
        return member.endpoint.node == added.endpoint.node;
    };
    if (std::ranges::any_of(members, isSame)) {
        return;
    }
    members.push_back(added);
    std::ranges::sort(members, {}, [](const MemberRecord &member) { return member.endpoint.node; });
}

/*! @brief Node that writes a cell record and merges what others wrote. */
class Writer
{
public:
    Writer(const std::string &name, FakeStore &store, const Clock &clock)
        : context_{.settings = {},
                   .self = NodeAddress{name},
                   .incarnation = 1,
                   .clock = &clock,
                   .counters = &counters_,
                   .hooks = {.store = store.hook()}}
        , writer_{context_, LeaseName{"cell/d/0"}, [this](const CellRecord &record) {
                      for (const auto &member : record.members) {
                          addTo(members_, member);
                      }
                  }}
    {
        addTo(members_, memberNamed(name));
    }

    auto tick() -> void { writer_.tick(members_, false); }
    auto add(const std::string &name) -> void { addTo(members_, memberNamed(name)); }
    [[nodiscard]] auto members() const -> const std::vector<MemberRecord> & { return members_; }
    [[nodiscard]] auto writer() -> RecordWriter & { return writer_; }
    [[nodiscard]] auto counters() const -> const Counters & { return counters_; }

private:
    Counters counters_;
    Context context_;
    std::vector<MemberRecord> members_;
    RecordWriter writer_;
};

auto recordIn(FakeStore &store, const Clock &clock) -> std::vector<MemberRecord>
{
    const auto answer = store.memory().apply({.key = "cell/d/0"}, clock.now());
    const auto record = parseCellRecord(answer.entries.at(0).value);
    return record->members;
}

} // namespace

TEST(RecordWriter, LateWriteDoesNotReplaceANewerRecord)
{
    Clock clock;
    clock.pause();
    FakeStore store{clock};
    Writer former{"former", store, clock};
    former.tick();
    store.answerAll();
    former.tick();
    ASSERT_EQ(store.pendingCount(), 1U);
    Writer present{"present", store, clock};
    present.tick();
    store.answer(1);
    present.tick();
    store.answer(1);
    ASSERT_EQ(recordIn(store, clock), present.members());
    store.answerAll();
    EXPECT_EQ(recordIn(store, clock), present.members());
    EXPECT_EQ(former.counters().value("membership.write_conflict"), 1U);
    EXPECT_EQ(former.members().size(), 2U);
}

TEST(RecordWriter, SettlesALostAnswerByReading)
{
    Clock clock;
    clock.pause();
    FakeStore store{clock};
    Writer node{"node", store, clock};
    node.tick();
    store.answerAll();
    node.tick();
    store.setFault(StoreFault::LoseAnswers);
    store.answerAll();
    store.setFault(StoreFault::None);
    for (int step = 0; step < 100; ++step) {
        clock.advance(100ms);
        node.tick();
        store.answerAll();
    }
    EXPECT_EQ(store.writes(), 1U);
    EXPECT_TRUE(node.writer().isSettled(node.members()));
}

RC_GTEST_PROP(RecordWriter, NoMemberIsLostBetweenTwoWriters, (const std::vector<std::uint8_t> &actions))
{
    Clock clock;
    clock.pause();
    FakeStore store{clock};
    Writer first{"first", store, clock};
    Writer second{"second", store, clock};
    int added = 0;
    for (const auto action : actions) {
        auto &writer = action % 2 == 0 ? first : second;
        switch (action / 2 % 6) {
        case 0:
            writer.add("m" + std::to_string(++added));
            break;
        case 1:
        case 2:
            clock.advance(1100ms);
            writer.tick();
            break;
        case 3:
        case 4:
            if (store.pendingCount() > 0) {
                store.answer(action % store.pendingCount());
            }
            break;
        default:
            store.setFault(static_cast<StoreFault>(action % 3));
            break;
        }
    }
    store.setFault(StoreFault::None);
    for (int step = 0; step < 60; ++step) {
        clock.advance(1100ms);
        first.writer().invalidate();
        first.tick();
        store.answerAll();
        second.writer().invalidate();
        second.tick();
        store.answerAll();
        first.tick();
        second.tick();
        store.answerAll();
    }
    const auto record = recordIn(store, clock);
    RC_ASSERT(record == first.members());
    RC_ASSERT(record == second.members());
    RC_ASSERT(record.size() == static_cast<std::size_t>(added) + 2);
}

} // namespace jasminelatch::membership::internal

#include <jasminelatch/mesh/placement.hpp>

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jasminelatch::mesh {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

auto member(const std::string &name, const std::string &domain = "a") -> Member
{
    return {name, 1, {"127.0.0.1", 7000}, domain, "vistas", "i-" + name, 34, true, {}};
}

auto report(const std::string &name, const InstanceLoad &load) -> NodeReport
{
    NodeReport report;
    report.name = name;
    report.incarnation = 1;
    report.instanceId = "i-" + name;
    report.accepting = true;
    report.load = load;
    return report;
}

auto chosen(Placement &placement, const int count) -> std::map<std::string, int>
{
    std::map<std::string, int> counts;
    for (auto index = 0; index < count; ++index) {
        ++counts[placement.choose("vistas", {}, start + 10s)->name];
    }
    return counts;
}

/*! @brief Placement with one instance in the own failure domain and one in another. */
auto localAndRemote() -> Placement
{
    Placement placement{{}, "a", 1};
    placement.setMember(member("local", "a"), start);
    placement.setMember(member("remote", "b"), start);
    return placement;
}

} // namespace

TEST(Placement, SelectsNothingForAnUnknownService)
{
    Placement placement{{}, "a", 1};
    EXPECT_EQ(placement.choose("vistas", {}, start), nullptr);
}

TEST(Placement, PrefersTheFasterOfTwoIdleInstances)
{
    Placement placement{{}, "a", 1};
    placement.setMember(member("fast"), start);
    placement.setMember(member("slow"), start);
    placement.applyReport(report("fast", {1, 0, 32, 40ms}));
    placement.applyReport(report("slow", {1, 0, 32, 90ms}));
    EXPECT_GT(chosen(placement, 1000)["fast"], 950);
}

TEST(Placement, AvoidsAFullInstanceEvenIfItIsTheFastest)
{
    // Scenario quiet-1 of Rumbo: twenty requests waited at the fastest instance while thirty slots were free.
    Placement placement{{}, "a", 1};
    placement.setMember(member("fast"), start);
    placement.setMember(member("slow"), start);
    placement.applyReport(report("fast", {32, 10, 32, 40ms}));
    placement.applyReport(report("slow", {2, 0, 32, 90ms}));
    EXPECT_GT(chosen(placement, 1000)["slow"], 900);
}

TEST(Placement, SendsSomeRequestsToANewInstance)
{
    // A new instance is cold and has no reports; in scenario quiet-1 of Hielo del Valle it received no requests at all.
    Placement placement{{}, "a", 1};
    placement.setMember(member("old"), start);
    placement.applyReport(report("old", {3, 0, 32, 30ms}));
    auto fresh = member("new", "b");
    fresh.coldStartRemaining = 3s;
    placement.setMember(fresh, start + 8s);
    EXPECT_GT(chosen(placement, 2000)["new"], 5);
}

TEST(Placement, EjectsAFailingInstanceButNeverAllOfThem)
{
    Placement placement{{.explorationFraction = 0.0}, "a", 1};
    placement.setMember(member("one"), start);
    placement.setMember(member("two"), start);
    for (auto count = 0; count < 3; ++count) {
        placement.finished("one", true, {}, start + 10s);
    }
    EXPECT_EQ(chosen(placement, 100)["two"], 100);
    for (auto count = 0; count < 3; ++count) {
        placement.finished("two", true, {}, start + 10s);
    }
    EXPECT_NE(placement.choose("vistas", {}, start + 10s), nullptr);
}

TEST(Placement, SelectsAnUnreachableInstanceLastAndIgnoresItsCapacity)
{
    // Many VMs lose power at once: their records stay until the leases expire ten seconds later.
    Placement placement{{}, "a", 1};
    placement.setMember(member("alive"), start);
    placement.setMember(member("lost"), start);
    placement.applyReport(report("alive", {30, 0, 32, 90ms}));
    placement.applyReport(report("lost", {0, 0, 32, 40ms}));
    placement.setReachable("lost", false);
    EXPECT_EQ(placement.capacity("vistas").limit, 32.0);
    EXPECT_EQ(placement.capacity("vistas").running, 30.0);
    EXPECT_EQ(chosen(placement, 100)["alive"], 100);
    placement.removeMember("alive");
    EXPECT_NE(placement.choose("vistas", {}, start), nullptr) << "the member may have recovered";
    placement.setReachable("lost", true);
    EXPECT_EQ(placement.capacity("vistas").limit, 32.0);
}

TEST(Placement, StaysInTheOwnFailureDomainWhileItHasCapacity)
{
    // Traffic between failure domains is charged, and instances differ in speed (Hielo del Valle, grown fleet).
    auto placement = localAndRemote();
    placement.applyReport(report("local", {10, 0, 32, 230ms}));
    placement.applyReport(report("remote", {10, 0, 32, 220ms}));
    EXPECT_GT(chosen(placement, 1000)["local"], 900);
    placement.applyReport(report("local", {32, 8, 32, 230ms}));
    EXPECT_GT(chosen(placement, 1000)["remote"], 900);
}

TEST(Placement, IgnoresAReportOfAnEarlierIncarnation)
{
    Placement placement{{}, "a", 1};
    auto restarted = member("one");
    restarted.incarnation = 2;
    restarted.accepting = false;
    placement.setMember(restarted, start);
    placement.applyReport(report("one", {}));
    EXPECT_EQ(placement.choose("vistas", {}, start), nullptr);
}

TEST(Placement, PrefersTheOwnFailureDomainAmongEquals)
{
    auto placement = localAndRemote();
    placement.applyReport(report("local", {1, 0, 32, 10ms}));
    placement.applyReport(report("remote", {1, 0, 32, 10ms}));
    EXPECT_GT(chosen(placement, 1000)["local"], 700);
}

TEST(Placement, AnInstanceThatSaidThatItIsLeavingIsNotSelectedThoughItsRestartedNodeOffersIt)
{
    auto placement = localAndRemote();
    placement.markLeaving("local", "i-local", 0, start);
    EXPECT_EQ(chosen(placement, 50)["remote"], 50);
    EXPECT_EQ(placement.capacity("vistas").limit, 34.0);
    // Its node restarts and has forgotten the departure.
    placement.removeMember("local");
    auto again = member("local");
    again.incarnation = 2;
    placement.setMember(again, start + 1s);
    auto offered = report("local", {0, 0, 34, 50ms});
    offered.incarnation = 2;
    placement.applyReport(offered);
    EXPECT_EQ(chosen(placement, 50)["remote"], 50);
    again.instanceId = "i-next";
    placement.setMember(again, start + 2s);
    EXPECT_GT(chosen(placement, 50)["local"], 0) << "another instance on the VM is used";
}

TEST(Placement, AnotherStartOfALeavingInstanceIsSelected)
{
    Placement placement{{}, "a", 1};
    auto first = member("local");
    first.instanceStartMs = 1700;
    placement.setMember(first, start);
    placement.markLeaving("local", "i-local", 1700, start);
    EXPECT_EQ(placement.choose("vistas", {}, start), nullptr);
    first.instanceStartMs = 1800;
    placement.setMember(first, start + 1s);
    EXPECT_NE(placement.choose("vistas", {}, start + 1s), nullptr);
}

TEST(Placement, SeveralInstancesOfAVmThatSaidThatTheyAreLeavingAreNotSelected)
{
    // Guards against DRAIN where instances leave in a row: the later one replaced the earlier one in the memory of
    // peers.
    Placement placement{{}, "a", 1};
    auto offered = member("local");
    placement.setMember(offered, start);
    placement.markLeaving("local", "i-local", 1700, start);
    placement.markLeaving("local", "i-next", 1800, start + 1s);
    placement.markLeaving("local", "i-next", 1800, start + 2s);
    offered.incarnation = 2;
    for (const auto &[id, startTimeMs] : {std::pair{"i-local", 1700U}, {"i-next", 1800U}}) {
        offered.instanceId = id;
        offered.instanceStartMs = startTimeMs;
        placement.setMember(offered, start + 3s);
        EXPECT_EQ(placement.choose("vistas", {}, start + 3s), nullptr) << id;
    }
    offered.instanceStartMs = 1900;
    placement.setMember(offered, start + 4s);
    EXPECT_NE(placement.choose("vistas", {}, start + 4s), nullptr) << "another start is used";
}

TEST(Placement, ARequestOfACrashIsTriedAtFewInstancesAndNeverAtTheLast)
{
    Placement placement{{}, "a", 1};
    for (const auto *name : {"vm1", "vm2", "vm3", "vm4", "vm5"}) {
        placement.setMember(member(name), start);
    }
    std::set<std::string> tried;
    for (auto count = 0; count < 50; ++count) {
        tried.insert(placement.chooseForSuspect("vistas", {}, false, start + 10s)->name);
    }
    EXPECT_EQ(tried, (std::set<std::string>{"vm1", "vm2"}));
    const std::vector<std::string> exclude{"vm1", "vm2"};
    EXPECT_EQ(placement.chooseForSuspect("vistas", exclude, false, start + 10s), nullptr);
    for (const auto *name : {"vm1", "vm2", "vm4"}) {
        placement.markDown(name);
    }
    EXPECT_EQ(placement.chooseForSuspect("vistas", {}, false, start + 10s)->name, "vm3");
    placement.markDown("vm3");
    EXPECT_EQ(placement.chooseForSuspect("vistas", {}, false, start + 10s), nullptr);
    EXPECT_EQ(placement.choose("vistas", {}, start + 10s)->name, "vm5");
    placement.applyReport(report("vm3", {0, 0, 30, 50ms}));
    EXPECT_EQ(placement.chooseForSuspect("vistas", {}, false, start + 10s)->name, "vm3") << "it is up again";
}

TEST(Placement, ARequestOfACrashRunsAtTheOnlyInstanceOfItsService)
{
    Placement placement{{}, "a", 1};
    placement.setMember(member("only"), start);
    EXPECT_EQ(placement.chooseForSuspect("vistas", {}, false, start + 10s)->name, "only");
}

TEST(Placement, ARequestOfACrashWaitsForTheCrashedInstanceIfTheOthersAreNeeded)
{
    Placement placement{{}, "a", 1};
    for (const auto *name : {"vm1", "vm2", "vm3"}) {
        placement.setMember(member(name), start);
        placement.applyReport(report(name, {20, 0, 30, 50ms}));
    }
    EXPECT_NE(placement.chooseForSuspect("vistas", {}, true, start + 10s), nullptr) << "all instances are up";
    placement.markDown("vm1");
    EXPECT_EQ(placement.chooseForSuspect("vistas", {}, true, start + 10s), nullptr) << "vm3 could not serve 40 alone";
    EXPECT_NE(placement.chooseForSuspect("vistas", {}, false, start + 10s), nullptr);
    for (const auto *name : {"vm2", "vm3"}) {
        placement.applyReport(report(name, {10, 0, 30, 50ms}));
    }
    EXPECT_NE(placement.chooseForSuspect("vistas", {}, true, start + 10s), nullptr);
}

TEST(Placement, InstancesOfAnEvacuatedDomainGetNoRequestsAndAddNoCapacity)
{
    auto placement = localAndRemote();
    const auto before = placement.capacity("vistas");
    placement.setEvacuated({"a"});
    EXPECT_EQ(placement.capacity("vistas").instances + 1, before.instances);
    for (auto count = 0; count < 50; ++count) {
        EXPECT_EQ(placement.choose("vistas", {}, start)->domain, "b");
    }
    placement.setEvacuated({"a", "b"});
    EXPECT_EQ(placement.choose("vistas", {}, start), nullptr);
    placement.setEvacuated({});
    EXPECT_EQ(placement.capacity("vistas").instances, before.instances);
}

} // namespace jasminelatch::mesh

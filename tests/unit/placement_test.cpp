#include "process/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr Duration Tick = milliseconds(100);
const std::string Site = "o/r/s";

// Hosts that obey at once and load in a set time, driven by a planner on a virtual clock.
class World {
  public:
    World(int domains, int hosts_each, PlacementSettings settings)
        : settings_(std::move(settings)) {
        for (int d = 0; d < domains; ++d)
            for (int i = 0; i < hosts_each; ++i) {
                const std::string name =
                    std::string(1, static_cast<char>('a' + d)) + std::to_string(i);
                hosts_[name] = Host{};
                apply(RegisterHost{{name, Site, "z", "domain-" + std::to_string(d), 8,
                                    HostRole::Engine, "", "1:1", "1:2", "1:3"},
                                   1});
            }
        planner.reset(now);
    }

    void down(const std::string& name) { hosts_[name].up = false; }
    void up(const std::string& name, bool restarted) {
        Host& host = hosts_[name];
        host.up = true;
        if (!restarted)
            return;
        host = Host{};
        host.incarnation = ++incarnations_;
        HostSpec spec = state.hosts().at(name).spec;
        apply(RegisterHost{spec, host.incarnation});
    }
    // The process of the host's engine ends: the agent is heard, holds nothing, and says so.
    void end_engine(const std::string& name) {
        Host& host = hosts_[name];
        host.engine_gone = true;
        host.fence = std::max(host.fence, host.held);
        host.held = NoEpoch;
        host.resident.clear();
    }
    void restart_engine(const std::string& name) { hosts_[name].engine_gone = false; }
    bool is_up(const std::string& name) { return hosts_[name].up; }
    void leave(const std::string& name) { hosts_[name].leaving = true; }

    void run(Duration d) {
        for (Duration t{}; t < d; t += Tick)
            tick();
    }
    std::size_t serving() const {
        std::size_t count = 0;
        for (const auto& [epoch, group] : state.groups())
            count += planner.serving(epoch) ? 1 : 0;
        return count;
    }
    std::vector<std::string> names() const {
        std::vector<std::string> out;
        for (const auto& [name, host] : hosts_)
            out.push_back(name);
        return out;
    }

    State state;
    PlacementPlanner planner;
    Time now{seconds(100)};
    int formed = 0;
    std::size_t most_loading = 0;
    Duration load_time = seconds(2);

  private:
    struct Host {
        bool up = true;
        bool leaving = false;
        bool engine_gone = false;
        Incarnation incarnation = 1;
        Epoch held = NoEpoch;
        Epoch fence = NoEpoch;
        Time ready_at{};
        std::string resident;
    };

    void apply(const Command& command) {
        formed += std::holds_alternative<FormGroup>(command) ? 1 : 0;
        state.apply(++index_, command);
        EXPECT_TRUE(state.violations().empty());
    }

    void obey(const std::string& name, Host& host) {
        const auto& known = state.hosts().at(name);
        const auto group = state.groups().find(known.bound);
        if (group == state.groups().end() || group->second.phase == GroupPhase::Releasing) {
            host.fence = std::max({host.fence, known.bound, host.held});
            host.held = NoEpoch;
        } else if (host.held != known.bound && known.bound > host.fence && !host.engine_gone) {
            host.held = known.bound;
            const std::string wanted = group->second.model.model + group->second.model.version;
            host.ready_at = now + (host.resident == wanted ? milliseconds(100) : load_time);
            host.resident = wanted;
        }
    }

    AgentStatus report(const std::string& name, const Host& host) {
        AgentStatus s;
        s.host = name;
        s.incarnation = host.incarnation;
        s.held = host.held;
        s.fence = host.fence;
        s.leaving = host.leaving;
        s.endpoint_gone = host.engine_gone;
        const auto group = state.groups().find(host.held);
        if (group == state.groups().end())
            return s;
        s.phase =
            group->second.phase == GroupPhase::Draining ? AgentPhase::Draining : AgentPhase::Ready;
        s.gate_open =
            group->second.lead().host == name && group->second.phase == GroupPhase::Active;
        for (const Member& member : group->second.members) {
            const Host& other = hosts_[member.host];
            s.gate_open =
                s.gate_open && other.up && other.held == host.held && now >= other.ready_at;
        }
        return s;
    }

    void tick() {
        now += Tick;
        for (auto& [name, host] : hosts_)
            if (host.up)
                obey(name, host);
        for (auto& [name, host] : hosts_)
            if (host.up)
                planner.observe(report(name, host), now);
        std::size_t loading = 0;
        for (const auto& [epoch, group] : state.groups()) {
            bool loads = group.phase == GroupPhase::Active;
            for (const Member& member : group.members)
                loads = loads && hosts_[member.host].up;
            loads = loads && !report(group.lead().host, hosts_[group.lead().host]).gate_open;
            loading += loads ? 1 : 0;
        }
        most_loading = std::max(most_loading, loading);
        for (const Command& command : planner.plan(state, {{Site, settings_}}, now))
            apply(command);
    }

    PlacementSettings settings_;
    std::map<std::string, Host> hosts_;
    Version index_ = 0;
    Incarnation incarnations_ = 1;
};

PlacementSettings wanting(std::size_t replicas, const std::string& version = "1") {
    PlacementSettings s;
    s.models = {{{"m", version, {}}, replicas, 4, 100}};
    return s;
}

TEST(Placement, FormsWholeGroupsInsideDomains) {
    World world(2, 6, wanting(2));
    world.run(seconds(10));
    EXPECT_EQ(world.serving(), 2u);
    EXPECT_EQ(world.formed, 2);
}

TEST(Placement, ReplacesALostHostWithASpareOfItsDomain) {
    World world(1, 5, wanting(1));
    world.run(seconds(10));
    world.down("a0");
    world.run(seconds(10));
    EXPECT_EQ(world.serving(), 1u);
    EXPECT_EQ(world.formed, 2);
}

// A host that returns after its group was repaired does not undo the repair.
TEST(Placement, AReturningHostIsASpare) {
    World world(1, 5, wanting(1));
    world.run(seconds(10));
    world.down("a0");
    world.run(seconds(10));
    world.up("a0", false);
    world.run(seconds(10));
    EXPECT_EQ(world.formed, 2);
    EXPECT_EQ(world.state.hosts().at("a0").bound, NoEpoch);
}

TEST(Placement, AHostWhoseEngineEndedIsReplacedAndIsASpareOnceItIsBack) {
    World world(1, 5, wanting(1));
    world.run(seconds(10));
    const std::string lead = world.state.groups().begin()->second.lead().host;
    world.end_engine(lead);
    world.run(seconds(5));
    EXPECT_EQ(world.serving(), 1u);
    EXPECT_EQ(world.formed, 2);
    EXPECT_EQ(world.state.hosts().at(lead).bound, NoEpoch);
    world.restart_engine(lead);
    const std::string next = world.state.groups().begin()->second.lead().host;
    ASSERT_NE(next, lead);
    world.end_engine(next);
    world.run(seconds(5));
    EXPECT_EQ(world.serving(), 1u) << "the host that is back takes the place";
    EXPECT_EQ(world.formed, 3);
}

TEST(Placement, WithoutASpareTheGroupIsFormedAgainOnceTheEngineIsBack) {
    World world(1, 4, wanting(1));
    world.run(seconds(10));
    world.end_engine("a2");
    world.run(seconds(5));
    EXPECT_EQ(world.serving(), 0u);
    EXPECT_EQ(world.formed, 1) << "no group with an empty host";
    world.restart_engine("a2");
    world.run(seconds(5));
    EXPECT_EQ(world.serving(), 1u);
    EXPECT_EQ(world.formed, 2);
}

// The engine was back before control heard that it had ended.
TEST(Placement, AnEngineThatIsBackAtOnceStillEndsItsGroup) {
    World world(1, 4, wanting(1));
    world.run(seconds(10));
    world.end_engine("a2");
    world.restart_engine("a2");
    world.run(seconds(5));
    EXPECT_EQ(world.serving(), 1u);
    EXPECT_EQ(world.formed, 2);
}

TEST(Placement, WaitsWithoutSparesAndServesAgainWithoutALoad) {
    World world(1, 4, wanting(1));
    world.run(seconds(10));
    world.down("a1");
    world.run(seconds(5));
    EXPECT_EQ(world.serving(), 0u);
    world.up("a1", false);
    world.run(seconds(2));
    EXPECT_EQ(world.serving(), 1u);
    EXPECT_EQ(world.formed, 1);
}

// A load that takes far longer than hosts usually stay away is not worth it at first.
TEST(Placement, WaitsWhenALoadCostsMoreThanTheExpectedReturn) {
    PlacementSettings settings = wanting(1);
    settings.outage.mean_return = seconds(5);
    settings.outage.loss_share = 0.01;
    settings.models[0].weight_mb = 100000;
    World world(1, 5, settings);
    world.load_time = seconds(100);
    world.run(seconds(150));
    world.down("a0");
    world.run(seconds(8));
    EXPECT_EQ(world.formed, 1);
    world.run(seconds(60));
    EXPECT_EQ(world.formed, 2) << "the longer the silence, the less likely is a return";
}

TEST(Placement, ADarkDomainIsMovedOnceAndNotHostByHost) {
    World world(2, 8, wanting(2));
    world.run(seconds(15));
    ASSERT_EQ(world.serving(), 2u);
    std::set<std::string> domains;
    for (const auto& [epoch, group] : world.state.groups())
        domains.insert(group.domain);
    const int before = world.formed;
    for (const std::string& name : world.names())
        if (name[0] == 'a')
            world.down(name);
    world.run(seconds(20));
    EXPECT_EQ(world.serving(), 2u);
    EXPECT_LE(world.formed - before, 2);
}

TEST(Placement, TwoBrokenGroupsAreMergedIntoOneThatServes) {
    World world(1, 8, wanting(2));
    world.run(seconds(15));
    ASSERT_EQ(world.serving(), 2u);
    for (const auto& [epoch, group] : std::map(world.state.groups()))
        world.down(group.members.back().host);
    world.run(seconds(20));
    EXPECT_EQ(world.serving(), 1u);
}

TEST(Placement, ALeavingHostsGroupIsReplacedBeforeItStops) {
    World world(1, 8, wanting(1));
    world.run(seconds(10));
    const std::string leaving = world.state.groups().begin()->second.members[1].host;
    world.leave(leaving);
    std::size_t least = 1;
    for (int i = 0; i < 100; ++i) {
        world.run(Tick);
        least = std::min(least, world.serving());
    }
    EXPECT_EQ(least, 1u);
    EXPECT_EQ(world.state.hosts().at(leaving).bound, NoEpoch);
}

// Random faults, for all policies and weights.
TEST(Placement, ConvergesAfterRandomFaults) {
    EXPECT_TRUE(rc::check([] {
        PlacementSettings settings = wanting(3);
        settings.downtime_weight = *rc::gen::element(0.1, 1.0, 10.0);
        settings.stranded_weight = *rc::gen::element(0.0, 0.1, 1.0);
        World world(2, 7, settings);
        world.run(seconds(20));
        RC_ASSERT(world.serving() == 2u); // three do not fit into two domains of seven
        int faults = 0;
        const auto names = world.names();
        for (const int action :
             *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 42))) {
            const std::string& name = names[static_cast<std::size_t>(action) % names.size()];
            if (world.is_up(name)) {
                world.down(name);
                ++faults;
            } else {
                world.up(name, action % 2 == 0);
                ++faults;
            }
            world.run(milliseconds(300 * (action % 15)));
        }
        for (const std::string& name : names)
            if (!world.is_up(name)) {
                world.up(name, false);
                ++faults;
            }
        world.run(seconds(60));
        RC_ASSERT(world.serving() == 2u);
        RC_ASSERT(world.formed <= 2 + 2 * faults);
        RC_ASSERT(world.most_loading <= settings.loads_at_once);
        const int settled = world.formed;
        world.run(seconds(60));
        RC_ASSERT(world.formed == settled);
    }));
}

TEST(Outage, TheLongerTheSilenceTheLongerTheExpectedRest) {
    OutageStats stats;
    OutagePrior prior;
    EXPECT_LT(stats.expected_remaining(seconds(1), prior),
              stats.expected_remaining(seconds(90), prior));
    const Duration before = stats.expected_remaining(seconds(1), prior);
    for (int i = 0; i < 50; ++i)
        stats.returned(seconds(3));
    EXPECT_LT(stats.expected_remaining(seconds(1), prior), before / 2) << "learns from returns";
}

} // namespace
} // namespace liftweir

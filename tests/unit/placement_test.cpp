// Tests placement and repair against simulated hosts on a virtual clock.

#include "process/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr Duration Tick = milliseconds(100);
const std::string Site = "o/r/s";

// Hosts that follow the state at once and load weights in a fixed time.
class Simulation {
  public:
    Simulation(int domains, int hosts_each, PlacementSettings settings)
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
    // Ends the engine process of the host. Its agent reports that it holds no group.
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

    void follow_state(const std::string& name, Host& host) {
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
                follow_state(name, host);
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
    Simulation sim(2, 6, wanting(2));
    sim.run(seconds(10));
    EXPECT_EQ(sim.serving(), 2u);
    EXPECT_EQ(sim.formed, 2);
}

TEST(Placement, ReplacesALostHostWithASpareOfItsDomain) {
    Simulation sim(1, 5, wanting(1));
    sim.run(seconds(10));
    sim.down("a0");
    sim.run(seconds(10));
    EXPECT_EQ(sim.serving(), 1u);
    EXPECT_EQ(sim.formed, 2);
}

// A host that returns after its group was repaired does not undo the repair.
TEST(Placement, AHostThatReturnsAfterTheRepairIsASpare) {
    Simulation sim(1, 5, wanting(1));
    sim.run(seconds(10));
    sim.down("a0");
    sim.run(seconds(10));
    sim.up("a0", false);
    sim.run(seconds(10));
    EXPECT_EQ(sim.formed, 2);
    EXPECT_EQ(sim.state.hosts().at("a0").bound, NoEpoch);
}

TEST(Placement, AHostWhoseEngineEndedIsReplacedAndBecomesASpareOnceItRestarts) {
    Simulation sim(1, 5, wanting(1));
    sim.run(seconds(10));
    const std::string lead = sim.state.groups().begin()->second.lead().host;
    sim.end_engine(lead);
    sim.run(seconds(5));
    EXPECT_EQ(sim.serving(), 1u);
    EXPECT_EQ(sim.formed, 2);
    EXPECT_EQ(sim.state.hosts().at(lead).bound, NoEpoch);
    sim.restart_engine(lead);
    const std::string next = sim.state.groups().begin()->second.lead().host;
    ASSERT_NE(next, lead);
    sim.end_engine(next);
    sim.run(seconds(5));
    EXPECT_EQ(sim.serving(), 1u) << "the host whose engine has restarted is the replacement";
    EXPECT_EQ(sim.formed, 3);
}

TEST(Placement, WithoutASpareTheGroupIsFormedAgainOnceTheEngineRestarts) {
    Simulation sim(1, 4, wanting(1));
    sim.run(seconds(10));
    sim.end_engine("a2");
    sim.run(seconds(5));
    EXPECT_EQ(sim.serving(), 0u);
    EXPECT_EQ(sim.formed, 1) << "no group with a host without an engine";
    sim.restart_engine("a2");
    sim.run(seconds(5));
    EXPECT_EQ(sim.serving(), 1u);
    EXPECT_EQ(sim.formed, 2);
}

// The engine restarts before control receives a report of its end.
TEST(Placement, AnEngineThatRestartsAtOnceStillEndsItsGroup) {
    Simulation sim(1, 4, wanting(1));
    sim.run(seconds(10));
    sim.end_engine("a2");
    sim.restart_engine("a2");
    sim.run(seconds(5));
    EXPECT_EQ(sim.serving(), 1u);
    EXPECT_EQ(sim.formed, 2);
}

TEST(Placement, WithoutSparesWaitsForTheHostAndServesAgainWithoutALoad) {
    Simulation sim(1, 4, wanting(1));
    sim.run(seconds(10));
    sim.down("a1");
    sim.run(seconds(5));
    EXPECT_EQ(sim.serving(), 0u);
    sim.up("a1", false);
    sim.run(seconds(2));
    EXPECT_EQ(sim.serving(), 1u);
    EXPECT_EQ(sim.formed, 1);
}

// At first a load is not worthwhile if it takes far longer than the usual outage.
TEST(Placement, WaitsWhenALoadCostsMoreThanTheExpectedReturn) {
    PlacementSettings settings = wanting(1);
    settings.outage.mean_return = seconds(5);
    settings.outage.loss_share = 0.01;
    settings.models[0].weight_mb = 100000;
    Simulation sim(1, 5, settings);
    sim.load_time = seconds(100);
    sim.run(seconds(150));
    sim.down("a0");
    sim.run(seconds(8));
    EXPECT_EQ(sim.formed, 1);
    sim.run(seconds(60));
    EXPECT_EQ(sim.formed, 2) << "the longer the outage, the less likely is a return";
}

TEST(Placement, AnUnreachableDomainIsMovedOnceAndNotHostByHost) {
    Simulation sim(2, 8, wanting(2));
    sim.run(seconds(15));
    ASSERT_EQ(sim.serving(), 2u);
    std::set<std::string> domains;
    for (const auto& [epoch, group] : sim.state.groups())
        domains.insert(group.domain);
    const int before = sim.formed;
    for (const std::string& name : sim.names())
        if (name[0] == 'a')
            sim.down(name);
    sim.run(seconds(20));
    EXPECT_EQ(sim.serving(), 2u);
    EXPECT_LE(sim.formed - before, 2);
}

TEST(Placement, TwoBrokenGroupsAreMergedIntoOneThatServes) {
    Simulation sim(1, 8, wanting(2));
    sim.run(seconds(15));
    ASSERT_EQ(sim.serving(), 2u);
    for (const auto& [epoch, group] : std::map(sim.state.groups()))
        sim.down(group.members.back().host);
    sim.run(seconds(20));
    EXPECT_EQ(sim.serving(), 1u);
}

TEST(Placement, TheGroupOfALeavingHostIsReplacedBeforeItStops) {
    Simulation sim(1, 8, wanting(1));
    sim.run(seconds(10));
    const std::string leaving = sim.state.groups().begin()->second.members[1].host;
    sim.leave(leaving);
    std::size_t least = 1;
    for (int i = 0; i < 100; ++i) {
        sim.run(Tick);
        least = std::min(least, sim.serving());
    }
    EXPECT_EQ(least, 1u);
    EXPECT_EQ(sim.state.hosts().at(leaving).bound, NoEpoch);
}

// Random faults with several weights of downtime and of stranded accelerators.
TEST(Placement, ConvergesAfterRandomFaults) {
    EXPECT_TRUE(rc::check([] {
        PlacementSettings settings = wanting(3);
        settings.downtime_weight = *rc::gen::element(0.1, 1.0, 10.0);
        settings.stranded_weight = *rc::gen::element(0.0, 0.1, 1.0);
        Simulation sim(2, 7, settings);
        sim.run(seconds(20));
        RC_ASSERT(sim.serving() == 2u); // three groups do not fit into two domains of seven hosts
        int faults = 0;
        const auto names = sim.names();
        for (const int action :
             *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 42))) {
            const std::string& name = names[static_cast<std::size_t>(action) % names.size()];
            if (sim.is_up(name)) {
                sim.down(name);
                ++faults;
            } else {
                sim.up(name, action % 2 == 0);
                ++faults;
            }
            sim.run(milliseconds(300 * (action % 15)));
        }
        for (const std::string& name : names)
            if (!sim.is_up(name)) {
                sim.up(name, false);
                ++faults;
            }
        sim.run(seconds(60));
        RC_ASSERT(sim.serving() == 2u);
        RC_ASSERT(sim.formed <= 2 + 2 * faults);
        RC_ASSERT(sim.most_loading <= settings.loads_at_once);
        const int settled = sim.formed;
        sim.run(seconds(60));
        RC_ASSERT(sim.formed == settled);
    }));
}

TEST(Outage, ExpectedRemainingTimeGrowsWithTheOutage) {
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

// Simulates three control hosts with their copies of the replicated log, which are partitioned,
// frozen, killed and restarted, endpoints that restart under their names, and delayed reports and
// orders. Harder cases than takeover_test, with the real replicated log, order queue and takeover.

#include "process/groupcontroller.h"
#include "process/groupname.h"
#include "unit/memstorage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Step = milliseconds(50);
constexpr Duration HeartbeatInterval = milliseconds(1200);
constexpr Duration OrderTimeout = milliseconds(1000);
constexpr Duration LeadTimeout = seconds(5); // a lead that misses a member reports Broken after it
constexpr NodeId ControlHosts = 3;
constexpr std::size_t Pairs = 4;
constexpr std::size_t BigDocumentBytes = 400u << 10; // four of them make a snapshot due
const std::string Service = "llm";

EngineCost pairs_of_one_model() {
    EngineCost e;
    e.slots = 48;
    e.loads_per_second = 30;
    e.loads_at_once = 60;
    e.open_delay = milliseconds(100);
    e.models = {{"m", 2, 1.0, 1.0, seconds(1), milliseconds(300)}};
    return e;
}

// The parameters of one simulation.
struct Scenario {
    std::uint32_t seed = 1;
    Duration max_delay = milliseconds(2); // of reports, orders and their answers
    bool slow_to_notice = false;          // a partitioned first leader acts as leader for seconds
    bool slow_to_send = false;            // one order per step, so that the others queue up
};

// A simulated endpoint. It refuses fences and epochs below the highest that it has seen, and
// forgets both when it restarts.
struct Endpoint {
    EndpointReport report;
    std::vector<std::string> members; // of its group, the lead first
    std::uint64_t fence = 0;
    Epoch highest_epoch = NoEpoch;
    Time ready_at{};
    Time open_at{};
    Time incomplete_since{};
    Time heartbeat_due{};
};

struct ControlHost {
    MemStorage disk;
    std::unique_ptr<Replica> replica; // null while the host is down
    std::unique_ptr<GroupController> groups;
    Registry registry;
    int incarnation = 0;
    bool partitioned = false;
    Time frozen_until{};
};

class Simulation {
  public:
    explicit Simulation(const Scenario& scenario) : scenario_(scenario), random_(scenario.seed) {
        for (std::size_t n = 0; n < 2 * Pairs; ++n) {
            Endpoint e;
            e.report.id = {"i" + std::to_string(n), 1000};
            e.report.service = Service;
            e.report.address = "10.0.0." + std::to_string(n + 1) + ":80";
            e.report.domain = "d";
            e.report.zone = "z";
            endpoints_.emplace(e.report.id.name, e);
        }
        for (NodeId node = 1; node <= ControlHosts; ++node)
            start(node);
    }

    void run(Duration time) {
        for (const Time until = now_ + time; now_ < until; step())
            ;
    }

    // ---- faults

    NodeId leader() const {
        for (NodeId node = 1; node <= ControlHosts; ++node)
            if (up(node) && !at(node).partitioned && at(node).groups->leads())
                return node;
        return NoNode;
    }
    // Partitions the leader from the other control hosts. The leader and the endpoints still reach
    // each other.
    void partition_leader() {
        if (const NodeId node = leader(); node != NoNode && failed_hosts() == 0)
            at(node).partitioned = true;
    }
    void freeze_leader() {
        if (const NodeId node = leader(); node != NoNode && failed_hosts() == 0)
            at(node).frozen_until =
                now_ + milliseconds(std::uniform_int_distribution<int>(300, 2500)(random_));
    }
    void kill(NodeId node) {
        if (node == NoNode || !up(node) || failed_hosts() > 0)
            return;
        at(node).replica.reset();
        at(node).disk.crash();
        ++at(node).incarnation;
    }
    void kill_leader() { kill(leader()); }
    void kill_follower() {
        const NodeId node = 1 + random_() % ControlHosts;
        kill(node == leader() ? 1 + node % ControlHosts : node);
    }
    // Makes the log outgrow what is kept, so that a follower that lags behind receives a snapshot.
    void write_big_document() {
        if (const NodeId node = leader(); node != NoNode)
            at(node).replica->propose(
                ReplaceDocument{++version_, std::string(BigDocumentBytes, 'x')},
                [](const Expected<ApplyResult>&) {});
    }
    void end_one_group() {
        for (auto& [name, e] : endpoints_)
            if (e.report.leads_open_group()) {
                e.report.membership = {};
                send_report(e);
                return;
            }
    }
    void restart_one_endpoint() {
        Endpoint& e =
            std::next(endpoints_.begin(), static_cast<long>(random_() % endpoints_.size()))->second;
        Endpoint next;
        next.report = e.report;
        next.report.id.started_ms += 1000;
        next.report.membership = {};
        next.report.sequence = 0;
        e = next;
        send_report(e);
    }
    void heal() {
        for (NodeId node = 1; node <= ControlHosts; ++node) {
            at(node).partitioned = false;
            if (!up(node))
                start(node);
        }
    }
    void end_delays() { scenario_.max_delay = milliseconds(1); }

    // ---- results

    std::size_t open() const {
        return static_cast<std::size_t>(
            std::count_if(endpoints_.begin(), endpoints_.end(),
                          [](const auto& item) { return item.second.report.leads_open_group(); }));
    }
    const std::vector<std::string>& violations() const { return violations_; }
    int takeovers() const { return takeovers_; }
    // Orders that were still queued when their host stopped leading.
    std::size_t held_over() const { return held_over_; }
    // Joins that were carried out although no log holds their group any more.
    int unlogged_joins() const { return unlogged_joins_; }
    bool was_sent_snapshot(NodeId node) const {
        return up(node) && at(node).replica->raft().snapshot().index > 0;
    }

  private:
    ControlHost& at(NodeId node) { return hosts_[node - 1]; }
    const ControlHost& at(NodeId node) const { return hosts_[node - 1]; }
    bool up(NodeId node) const { return at(node).replica != nullptr; }
    bool frozen(NodeId node) const { return now_ < at(node).frozen_until; }
    int failed_hosts() const {
        int count = 0;
        for (NodeId node = 1; node <= ControlHosts; ++node)
            count += !up(node) || at(node).partitioned || frozen(node) ? 1 : 0;
        return count;
    }

    void start(NodeId node) {
        ControlHost& host = at(node);
        RaftTuning tuning;
        if (node == 1) {
            tuning.first_election_min = milliseconds(100);
            tuning.first_election_max = milliseconds(150);
            if (scenario_.slow_to_notice)
                tuning.election_min = tuning.election_max = milliseconds(2500);
        }
        auto opened = Replica::open(host.disk, node, {1, 2, 3}, tuning, random_(), now_);
        ASSERT_TRUE(opened);
        host.replica = std::move(*opened);
        host.groups =
            std::make_unique<GroupController>(GroupPlannerConfig{}, host.incarnation == 0);
        host.registry = Registry();
        host.groups->configure(Service, pairs_of_one_model(), host.replica->state(), host.registry,
                               now_);
    }

    void step() {
        now_ += Step;
        for (auto due = pending_.begin(); due != pending_.end() && due->first <= now_;
             due = pending_.erase(due))
            due->second();
        for (auto& [name, e] : endpoints_)
            advance(e);
        for (NodeId node = 1; node <= ControlHosts; ++node)
            if (up(node) && !frozen(node))
                step(node);
    }

    void step(NodeId node) {
        ControlHost& host = at(node);
        host.replica->tick(now_);
        pump(node);
        if (host.replica->ready() && host.groups->plan(*host.replica, host.registry, now_))
            pump(node);
        for (const GroupController::Probe& probe : host.groups->take_probes())
            host.groups->probed(probe, ProbeResult::Alive, now_);
        (void)host.groups->take_events();
        send_orders(node);
    }

    void pump(NodeId node) {
        ControlHost& host = at(node);
        const auto messages = host.replica->pump();
        ASSERT_TRUE(messages);
        for (const RaftEnvelope& envelope : *messages)
            deliver(envelope.to, now_ + milliseconds(random_() % 3 == 0 ? 60 : 1),
                    [this, node, envelope] {
                        if (at(node).partitioned || at(envelope.to).partitioned)
                            return;
                        at(envelope.to).replica->step(node, envelope.message, now_);
                        pump(envelope.to);
                    });
        const bool leads = host.replica->raft().leads_with_commit();
        if (leads && !host.groups->leads()) {
            host.groups->take_over({host.replica->raft().term(), now_, true},
                                   host.replica->state());
            ++takeovers_;
        } else if (!leads && host.groups->leads()) {
            held_over_ += host.groups->orders_waiting();
            host.groups->step_down();
        }
        host.groups->settle(host.registry, now_);
    }

    void send_orders(NodeId node) {
        while (const auto item = at(node).groups->next_order()) {
            send_order(node, *item);
            if (scenario_.slow_to_send)
                return;
        }
    }

    void send_order(NodeId node, const OrderQueue::Item& item) {
        const Duration delay = random_delay();
        const auto answer = std::make_shared<OrderAnswer>(OrderAnswer::Silent);
        schedule(now_ + delay, [this, item, answer] { *answer = handle_order(item.order); });
        deliver(node, now_ + std::min(delay, OrderTimeout) + Step,
                [this, node, item, answer] { at(node).groups->answered(item, *answer, now_); });
    }

    Duration random_delay() {
        const auto most = std::chrono::duration_cast<milliseconds>(scenario_.max_delay).count();
        if (most <= 1 || std::uniform_int_distribution<int>(0, 1)(random_) == 0)
            return milliseconds(1);
        return milliseconds(std::uniform_int_distribution<int>(1, static_cast<int>(most))(random_));
    }

    void schedule(Time when, std::function<void()> what) {
        pending_.emplace(when, std::move(what));
    }

    // A frozen host handles the message once it resumes. Messages for an earlier incarnation are
    // lost.
    void deliver(NodeId node, Time when, std::function<void()> what) {
        schedule(when, [this, node, incarnation = at(node).incarnation, what = std::move(what)] {
            if (!up(node) || at(node).incarnation != incarnation)
                return;
            if (frozen(node))
                deliver(node, at(node).frozen_until, what);
            else
                what();
        });
    }

    // ---- endpoints

    void send_report(Endpoint& e) {
        ++e.report.sequence;
        e.heartbeat_due = now_ + HeartbeatInterval;
        for (NodeId node = 1; node <= ControlHosts; ++node)
            deliver(node, now_ + random_delay(), [this, node, report = e.report] {
                ControlHost& host = at(node);
                if (host.registry.merge(report, now_))
                    host.groups->observe(host.registry.find(report.id)->report, now_);
                (void)host.registry.take_resolved();
            });
    }

    void advance(Endpoint& e) {
        Membership& m = e.report.membership;
        if (m.epoch != NoEpoch && m.state == MemberState::Joining && now_ >= e.ready_at) {
            m.state = MemberState::Ready;
            e.report.staged = {"m"};
            send_report(e);
        } else if (m.state == MemberState::Ready && e.open_at != Time{} && now_ >= e.open_at) {
            m.state = MemberState::Open;
            e.open_at = {};
            send_report(e);
        } else if (e.report.leads_open_group() && lead_times_out(e)) {
            m.state = MemberState::Broken;
            send_report(e);
        } else if (now_ >= e.heartbeat_due) {
            send_report(e);
        }
    }

    bool lead_times_out(Endpoint& lead) {
        const bool whole =
            std::all_of(lead.members.begin(), lead.members.end(), [&](const std::string& name) {
                return endpoints_.at(name).report.membership.epoch == lead.report.membership.epoch;
            });
        if (whole)
            lead.incomplete_since = {};
        else if (lead.incomplete_since == Time{})
            lead.incomplete_since = now_;
        return !whole && now_ - lead.incomplete_since >= LeadTimeout;
    }

    // An endpoint that restarts under its name has the same address, so it receives the orders that
    // were meant for the previous incarnation.
    OrderAnswer handle_order(const EndpointOrder& order) {
        Endpoint& e = endpoints_.at(order.endpoint.name);
        const OrderAnswer answer = execute(e, order);
        return e.report.id == order.endpoint ? answer : OrderAnswer::Elsewhere;
    }

    OrderAnswer execute(Endpoint& e, const EndpointOrder& order) {
        Membership& m = e.report.membership;
        if (order.fence < e.fence)
            return OrderAnswer::Stale;
        e.fence = order.fence;
        const bool same = m.epoch == order.epoch;
        switch (order.kind) {
        case OrderKind::Join:
            return join(e, order);
        case OrderKind::Open:
            if (!same || m.state != MemberState::Ready)
                return OrderAnswer::Unfit;
            e.open_at = now_ + milliseconds(100);
            return OrderAnswer::Taken;
        case OrderKind::Close:
            if (!same)
                return OrderAnswer::Unfit;
            m.state = MemberState::Ready;
            break;
        case OrderKind::Leave:
            if (!same)
                return OrderAnswer::Unfit;
            m = {};
            break;
        case OrderKind::Stage:
            e.report.staged = {order.model};
            break;
        }
        send_report(e);
        return OrderAnswer::Taken;
    }

    OrderAnswer join(Endpoint& e, const EndpointOrder& order) {
        if (order.epoch < e.highest_epoch)
            return OrderAnswer::Stale;
        const Membership& old = e.report.membership;
        if (old.epoch != NoEpoch && old.epoch != order.epoch) {
            const Membership& lead = endpoints_.at(e.members.front()).report.membership;
            if (lead.epoch == old.epoch && lead.state == MemberState::Open)
                violations_.push_back(text_of(e.report.id) + " joins " + order.group +
                                      " while the lead of " + old.group + " serves");
        }
        const bool logged = std::any_of(hosts_.begin(), hosts_.end(), [&](const ControlHost& host) {
            return host.replica != nullptr &&
                   host.replica->state().planned_groups(Service).contains(order.epoch);
        });
        unlogged_joins_ += logged || kind_of_group(order.group) == GroupKind::WarmUp ? 0 : 1;
        e.highest_epoch = order.epoch;
        e.members.clear();
        for (const EndpointId& id : order.members)
            e.members.push_back(id.name);
        const auto rank = std::find(e.members.begin(), e.members.end(), e.report.id.name);
        e.report.membership = {order.group, order.epoch,
                               static_cast<std::uint32_t>(rank - e.members.begin()),
                               MemberState::Joining};
        e.ready_at = now_ + milliseconds(200);
        e.open_at = {};
        send_report(e);
        return OrderAnswer::Taken;
    }

    Scenario scenario_;
    Time now_{seconds(100)};
    std::minstd_rand random_;
    std::map<std::string, Endpoint> endpoints_; // by name
    std::array<ControlHost, ControlHosts> hosts_;
    std::multimap<Time, std::function<void()>> pending_;
    std::vector<std::string> violations_;
    Version version_ = 0;
    int takeovers_ = 0;
    std::size_t held_over_ = 0;
    int unlogged_joins_ = 0;
};

using Fault = void (Simulation::*)();

// Checks that no host joins a group while the lead of its present group serves, whatever faults
// occur, and that all groups serve again once the faults end.
void simulate(const Scenario& scenario, const std::vector<Fault>& faults, int max_faults) {
    Simulation sim(scenario);
    sim.run(seconds(4));
    const int count = *rc::gen::inRange(2, max_faults);
    for (int n = 0; n < count; ++n) {
        const Fault fault = faults[*rc::gen::inRange<std::size_t>(0, faults.size())];
        (sim.*fault)();
        sim.run(milliseconds(*rc::gen::inRange(0, 2500)));
    }
    sim.heal();
    sim.end_delays();
    sim.run(seconds(14));
    if (!sim.violations().empty())
        RC_FAIL(sim.violations().front());
    if (sim.open() != Pairs)
        RC_FAIL(std::to_string(sim.open()) + " groups are open in the end");
}

Scenario any_scenario() {
    Scenario p;
    p.seed = *rc::gen::inRange<std::uint32_t>(1, 1u << 30);
    p.max_delay = milliseconds(*rc::gen::inRange(2, 4000));
    p.slow_to_notice = *rc::gen::arbitrary<bool>();
    p.slow_to_send = *rc::gen::arbitrary<bool>();
    return p;
}

RC_GTEST_PROP(LeaderChange, NoHostLeavesAServingGroupForAnother, ()) {
    simulate(any_scenario(),
             {&Simulation::partition_leader, &Simulation::freeze_leader, &Simulation::kill_leader,
              &Simulation::kill_follower, &Simulation::end_one_group, &Simulation::end_one_group,
              &Simulation::heal},
             12);
}

RC_GTEST_PROP(LeaderChange, NoHostLeavesAServingGroupWhileEndpointsRestart, ()) {
    simulate(any_scenario(),
             {&Simulation::partition_leader, &Simulation::kill_leader,
              &Simulation::restart_one_endpoint, &Simulation::restart_one_endpoint,
              &Simulation::end_one_group, &Simulation::heal},
             12);
}

RC_GTEST_PROP(LeaderChange, NoHostLeavesAServingGroupWhileFollowersReceiveSnapshots, ()) {
    simulate(any_scenario(),
             {&Simulation::kill_follower, &Simulation::kill_leader, &Simulation::partition_leader,
              &Simulation::end_one_group, &Simulation::write_big_document,
              &Simulation::write_big_document, &Simulation::write_big_document, &Simulation::heal},
             14);
}

// The properties above test something only if leaders do change.
TEST(LeaderChange, AnotherHostLeadsOnceTheLeaderIsPartitioned) {
    Simulation sim({.seed = 3, .slow_to_notice = true});
    sim.run(seconds(4));
    EXPECT_EQ(sim.open(), Pairs);
    sim.partition_leader();
    sim.run(seconds(2));
    EXPECT_EQ(sim.takeovers(), 2);
    sim.heal();
    sim.end_one_group();
    sim.run(seconds(4));
    EXPECT_EQ(sim.open(), Pairs);
}

// The scenarios must include queued orders of a deposed leader and joins that arrive after the
// record of their group has been removed from the log.
TEST(LeaderChange, DelayedOrdersArriveAfterTheirRecordsHaveLeftTheLog) {
    std::size_t held_over = 0;
    int unlogged_joins = 0;
    for (std::uint32_t seed = 1; seed <= 30; ++seed) {
        Simulation sim({seed, milliseconds(3500), true, true});
        sim.run(seconds(4));
        for (int round = 0; round < 6; ++round) {
            sim.end_one_group();
            sim.end_one_group();
            sim.run(milliseconds(100 + 37 * round));
            if (round % 2 == 0)
                sim.partition_leader();
            sim.run(milliseconds(900));
            sim.heal();
            sim.restart_one_endpoint();
            sim.run(milliseconds(800));
        }
        held_over += sim.held_over();
        unlogged_joins += sim.unlogged_joins();
        EXPECT_TRUE(sim.violations().empty()) << "seed " << seed;
    }
    EXPECT_GT(held_over, 0u);
    EXPECT_GT(unlogged_joins, 0);
}

TEST(LeaderChange, AHostThatWasDownReceivesASnapshot) {
    Simulation sim({.seed = 5});
    sim.run(seconds(4));
    const NodeId down = sim.leader() % ControlHosts + 1;
    sim.kill(down);
    for (int n = 0; n < 6; ++n) {
        sim.write_big_document();
        sim.end_one_group();
        sim.run(milliseconds(600));
    }
    sim.heal();
    sim.run(seconds(2));
    EXPECT_TRUE(sim.was_sent_snapshot(down));
    sim.kill_leader();
    sim.run(seconds(6));
    EXPECT_EQ(sim.open(), Pairs);
    EXPECT_TRUE(sim.violations().empty());
}

} // namespace
} // namespace liftweir

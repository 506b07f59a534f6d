// Simulates two control hosts that both act as leader, with delayed reports and delayed orders.
// Whatever the delays, no host may join a group while the lead of its present group serves.

#include "process/groupplanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Step = milliseconds(50);
constexpr Duration HeartbeatInterval = milliseconds(1200);
constexpr Duration OrderTimeout = milliseconds(1000);

EngineCost engine() {
    EngineCost e;
    e.slots = 48;
    e.loads_per_second = 30;
    e.loads_at_once = 60;
    e.open_delay = milliseconds(100);
    e.models = {{"m", 2, 1.0, 1.0, seconds(1), milliseconds(300)}};
    return e;
}

// A simulated endpoint. It refuses fences below the highest that it has seen.
struct Host {
    EndpointReport report;
    std::vector<EndpointId> group_members;
    std::uint64_t fence = 0;
    std::uint64_t taken = 0; // orders
    Time ready_at{};
    Time open_at{};
    Time heartbeat_due{};
};

// A control host with the reports that it has received.
struct Control {
    explicit Control(bool first_start) : planner("llm", GroupPlannerConfig{}, first_start) {}
    GroupPlanner planner;
    Registry registry;
    bool leads = false;
};

// Changes that a leader has proposed to the replicated log.
struct Proposal {
    Control* by = nullptr;
    GroupChanges changes;
    bool settled = false;
    bool committed = false;
};

class Simulation {
  public:
    Simulation(std::uint32_t seed, Duration max_delay) : random_(seed), max_delay_(max_delay) {
        for (int n = 0; n < 8; ++n) {
            Host host;
            host.report.id = {"i" + std::to_string(n), 7};
            host.report.service = "llm";
            host.report.address = "10.0.0." + std::to_string(n + 1) + ":80";
            host.report.domain = "d";
            host.report.zone = "z";
            hosts_.emplace(host.report.id, host);
        }
        for (Control* control : {&old_, &newer_})
            control->planner.configure(engine());
        old_.planner.take_over(1, now_);
        old_.leads = true;
    }

    void run(Duration time) {
        for (const Time until = now_ + time; now_ < until; step())
            ;
    }

    // Elects the newer host, while the old one still acts as leader. The proposals of the old one
    // are each committed or lost now, since no entry of an earlier term can be committed later.
    void elect() {
        for (const auto& proposal : proposals_)
            if (!proposal->settled)
                settle(*proposal, std::uniform_int_distribution<int>(0, 1)(random_) == 0);
        elected_ = &newer_;
        newer_.planner.take_over(2, now_, log_);
        newer_.leads = true;
    }
    void depose() { old_.leads = false; }
    // Removes the lead of an open group from it, so that a new group has to be formed.
    void end_one_group() {
        for (auto& [id, host] : hosts_)
            if (host.report.leads_open_group()) {
                host.report.membership = {};
                send_report(host);
                return;
            }
    }

    std::size_t open() const {
        return static_cast<std::size_t>(
            std::count_if(hosts_.begin(), hosts_.end(),
                          [](const auto& item) { return item.second.report.leads_open_group(); }));
    }
    const std::vector<std::string>& violations() const { return violations_; }

  private:
    void step() {
        now_ += Step;
        for (auto due = pending_.begin(); due != pending_.end() && due->first <= now_;
             due = pending_.erase(due))
            due->second();
        for (auto& [id, host] : hosts_)
            advance(host);
        for (Control* control : {&old_, &newer_})
            if (control->leads)
                plan(*control);
    }

    void plan(Control& control) {
        for (const EndpointOrder& order : control.planner.plan(control.registry, now_))
            send_order(control, order);
        propose(control);
        for (const EndpointId& id : control.planner.take_probes())
            control.planner.probed(id, ProbeResult::Alive, now_);
        (void)control.planner.take_events();
    }

    // The commit reaches the leader with a delay, possibly after another leader has been elected.
    void propose(Control& control) {
        const auto proposal = std::make_shared<Proposal>();
        proposal->by = &control;
        proposal->changes = control.planner.take_changes();
        if (proposal->changes.empty())
            return;
        proposals_.push_back(proposal);
        at(now_ + random_delay(), [this, proposal] {
            if (!proposal->settled)
                settle(*proposal, proposal->by == elected_);
            if (!proposal->committed || !proposal->by->leads)
                return;
            Control& by = *proposal->by;
            for (const EndpointOrder& order :
                 by.planner.recorded(proposal->changes, by.registry, now_))
                send_order(by, order);
        });
    }

    void settle(Proposal& proposal, bool committed) {
        proposal.settled = true;
        proposal.committed = committed;
        if (!committed)
            return;
        log_.insert(proposal.changes.formed.begin(), proposal.changes.formed.end());
        for (const Epoch epoch : proposal.changes.ended)
            log_.erase(epoch);
    }

    Duration random_delay() {
        const auto most = std::chrono::duration_cast<milliseconds>(max_delay_).count();
        const bool on_time = std::uniform_int_distribution<int>(0, 1)(random_) == 0;
        return on_time ? milliseconds(1)
                       : milliseconds(std::uniform_int_distribution<int>(1, int(most))(random_));
    }

    void at(Time when, std::function<void()> what) { pending_.emplace(when, std::move(what)); }

    void send_order(Control& control, const EndpointOrder& order) {
        const Duration delay = random_delay();
        const auto answer = std::make_shared<OrderAnswer>(OrderAnswer::Silent);
        at(now_ + delay, [this, order, answer] { *answer = handle_order(order); });
        at(now_ + std::min(delay, OrderTimeout) + Step,
           [this, &control, order, answer] { control.planner.answered(order, *answer, now_); });
    }

    // Reports to both control hosts, each with its own delay.
    void send_report(Host& host) {
        ++host.report.sequence;
        host.heartbeat_due = now_ + HeartbeatInterval;
        for (Control* control : {&old_, &newer_})
            at(now_ + random_delay(), [this, control, report = host.report] {
                if (control->registry.merge(report, now_))
                    control->planner.observe(control->registry.find(report.id)->report, now_);
            });
    }

    void advance(Host& host) {
        Membership& m = host.report.membership;
        if (m.epoch != NoEpoch && m.state == MemberState::Joining && now_ >= host.ready_at) {
            m.state = MemberState::Ready;
            host.report.staged = {"m"};
            send_report(host);
        } else if (m.state == MemberState::Ready && host.open_at != Time{} &&
                   now_ >= host.open_at) {
            m.state = MemberState::Open;
            host.open_at = {};
            send_report(host);
        } else if (now_ >= host.heartbeat_due) {
            send_report(host);
        }
    }

    OrderAnswer handle_order(const EndpointOrder& order) {
        Host& host = hosts_.at(order.endpoint);
        Membership& m = host.report.membership;
        if (order.fence < host.fence)
            return OrderAnswer::Stale;
        host.fence = order.fence;
        const bool same = m.epoch == order.epoch;
        switch (order.kind) {
        case OrderKind::Join:
            return join(host, order);
        case OrderKind::Open:
            if (!same || m.state != MemberState::Ready)
                return OrderAnswer::Unfit;
            host.open_at = now_ + milliseconds(100);
            break;
        case OrderKind::Close:
        case OrderKind::Leave:
            if (!same)
                return OrderAnswer::Unfit;
            m = {};
            send_report(host);
            break;
        case OrderKind::Stage:
            host.report.staged = {order.model};
            send_report(host);
            break;
        }
        ++host.taken;
        return OrderAnswer::Taken;
    }

    OrderAnswer join(Host& host, const EndpointOrder& order) {
        const Membership& old = host.report.membership;
        if (order.epoch < old.epoch)
            return OrderAnswer::Stale;
        if (old.epoch != NoEpoch && old.epoch != order.epoch) {
            const Membership& lead = hosts_.at(host.group_members.front()).report.membership;
            if (lead.epoch == old.epoch && lead.state == MemberState::Open)
                violations_.push_back(text_of(order.endpoint) + " joins " + order.group +
                                      " while the lead of " + old.group + " serves");
        }
        ++host.taken;
        host.group_members = order.members;
        const auto rank = std::find(order.members.begin(), order.members.end(), order.endpoint);
        host.report.membership = {order.group, order.epoch,
                                  static_cast<std::uint32_t>(rank - order.members.begin()),
                                  MemberState::Joining};
        host.ready_at = now_ + milliseconds(200);
        host.open_at = {};
        send_report(host);
        return OrderAnswer::Taken;
    }

    Time now_{seconds(100)};
    std::minstd_rand random_;
    Duration max_delay_;
    std::map<EndpointId, Host> hosts_;
    Control old_{true};
    Control newer_{false};
    Control* elected_ = &old_; // the leader whose entries can be committed
    PlannedGroups log_;
    std::vector<std::shared_ptr<Proposal>> proposals_;
    std::multimap<Time, std::function<void()>> pending_;
    std::vector<std::string> violations_;
};

RC_GTEST_PROP(Takeover, NoHostLeavesAServingGroupForAnother, ()) {
    const auto seed = *rc::gen::inRange<std::uint32_t>(1, 1u << 30);
    const auto max_delay = milliseconds(*rc::gen::inRange(1, 4000));
    Simulation sim(seed, max_delay);
    sim.run(seconds(4));
    for (int round = 0; round < 3; ++round) {
        sim.end_one_group();
        sim.run(milliseconds(*rc::gen::inRange(0, 1500)));
    }
    sim.elect();
    for (int round = 0; round < 4; ++round) {
        sim.run(milliseconds(*rc::gen::inRange(0, 2500)));
        sim.end_one_group();
    }
    sim.depose();
    sim.run(seconds(4));
    if (!sim.violations().empty())
        RC_FAIL(sim.violations().front());
}

// Liveness: with reports and orders on time, all groups serve again.
TEST(Takeover, ANewLeaderFormsAllGroupsAgain) {
    Simulation sim(5, milliseconds(2));
    sim.run(seconds(6));
    EXPECT_EQ(sim.open(), 4u);
    sim.depose();
    sim.elect();
    for (int round = 0; round < 3; ++round) {
        sim.end_one_group();
        sim.run(seconds(4));
        EXPECT_EQ(sim.open(), 4u);
    }
    EXPECT_TRUE(sim.violations().empty());
}

} // namespace
} // namespace liftweir

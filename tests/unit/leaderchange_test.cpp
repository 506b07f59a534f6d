// Three control hosts with their copies of the log, cut off, frozen, killed and started again in
// turn; endpoints that start again under their names; words and orders that come late. Harder cases
// of takeover_test, with the product's own log, order queue and step from one leader to the next.

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
constexpr Duration Beat = milliseconds(1200);
constexpr Duration OrderPatience = milliseconds(1000);
constexpr Duration StandsStill = seconds(5); // until a lead without a member gives its group up
constexpr NodeId ControlHosts = 3;
constexpr std::size_t Pairs = 4;
constexpr std::size_t BigDocument = 400u << 10; // four of them make a snapshot due
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

// What a case is made of.
struct Play {
    std::uint32_t seed = 1;
    Duration most_late = milliseconds(2); // words of endpoints, orders and their answers
    bool slow_to_notice = false;          // the first leader goes on for seconds once it is cut off
    bool slow_to_send = false;            // one order each step, so that the others wait
};

// An endpoint as the users' workers behave: it refuses fences and epochs below the highest that it
// has seen, and forgets both when it starts again.
struct Endpoint {
    EndpointReport report;
    std::vector<std::string> members; // of its group, the lead first
    std::uint64_t fence = 0;
    Epoch seen = NoEpoch;
    Time ready_at{};
    Time open_at{};
    Time alone_since{};
    Time beat_due{};
};

struct ControlHost {
    MemStorage disk;
    std::unique_ptr<Replica> replica; // null while it is down
    std::unique_ptr<GroupController> groups;
    Registry registry;
    int life = 0;
    bool cut = false;
    Time frozen_until{};
};

class World {
  public:
    explicit World(const Play& play) : play_(play), random_(play.seed) {
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

    // ---- what goes wrong

    NodeId leader() const {
        for (NodeId node = 1; node <= ControlHosts; ++node)
            if (up(node) && !at(node).cut && at(node).groups->leads())
                return node;
        return NoNode;
    }
    // Off from the other control hosts; endpoints are reached and heard.
    void cut_leader() {
        if (const NodeId node = leader(); node != NoNode && lost() == 0)
            at(node).cut = true;
    }
    void freeze_leader() {
        if (const NodeId node = leader(); node != NoNode && lost() == 0)
            at(node).frozen_until =
                now_ + milliseconds(std::uniform_int_distribution<int>(300, 2500)(random_));
    }
    void kill(NodeId node) {
        if (node == NoNode || !up(node) || lost() > 0)
            return;
        at(node).replica.reset();
        at(node).disk.crash();
        ++at(node).life;
    }
    void kill_leader() { kill(leader()); }
    void kill_follower() {
        const NodeId node = 1 + random_() % ControlHosts;
        kill(node == leader() ? 1 + node % ControlHosts : node);
    }
    // The log grows beyond what is kept: whoever is behind is sent a snapshot.
    void write_big_document() {
        if (const NodeId node = leader(); node != NoNode)
            at(node).replica->propose(ReplaceDocument{++version_, std::string(BigDocument, 'x')},
                                      [](const Expected<ApplyResult>&) {});
    }
    void end_some_group() {
        for (auto& [name, e] : endpoints_)
            if (e.report.leads_open_group()) {
                e.report.membership = {};
                tell(e);
                return;
            }
    }
    void restart_some_endpoint() {
        Endpoint& e =
            std::next(endpoints_.begin(), static_cast<long>(random_() % endpoints_.size()))->second;
        Endpoint next;
        next.report = e.report;
        next.report.id.started_ms += 1000;
        next.report.membership = {};
        next.report.sequence = 0;
        e = next;
        tell(e);
    }
    void heal() {
        for (NodeId node = 1; node <= ControlHosts; ++node) {
            at(node).cut = false;
            if (!up(node))
                start(node);
        }
    }
    void words_are_on_time() { play_.most_late = milliseconds(1); }

    // ---- what came of it

    std::size_t open() const {
        return static_cast<std::size_t>(
            std::count_if(endpoints_.begin(), endpoints_.end(),
                          [](const auto& item) { return item.second.report.leads_open_group(); }));
    }
    const std::vector<std::string>& violations() const { return violations_; }
    int takeovers() const { return takeovers_; }
    // Orders that waited in the queue of a host that led no more.
    std::size_t held_over() const { return held_over_; }
    // Joins that were carried out though no log names their group any more.
    int unlogged_joins() const { return unlogged_joins_; }
    bool was_sent_snapshot(NodeId node) const {
        return up(node) && at(node).replica->raft().snapshot().index > 0;
    }

  private:
    ControlHost& at(NodeId node) { return hosts_[node - 1]; }
    const ControlHost& at(NodeId node) const { return hosts_[node - 1]; }
    bool up(NodeId node) const { return at(node).replica != nullptr; }
    bool frozen(NodeId node) const { return now_ < at(node).frozen_until; }
    int lost() const {
        int count = 0;
        for (NodeId node = 1; node <= ControlHosts; ++node)
            count += !up(node) || at(node).cut || frozen(node) ? 1 : 0;
        return count;
    }

    void start(NodeId node) {
        ControlHost& host = at(node);
        RaftTuning tuning;
        if (node == 1) {
            tuning.first_election_min = milliseconds(100);
            tuning.first_election_max = milliseconds(150);
            if (play_.slow_to_notice)
                tuning.election_min = tuning.election_max = milliseconds(2500);
        }
        auto opened = Replica::open(host.disk, node, {1, 2, 3}, tuning, random_(), now_);
        ASSERT_TRUE(opened);
        host.replica = std::move(*opened);
        host.groups = std::make_unique<GroupController>(GroupPlannerConfig{}, host.life == 0);
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
            host.groups->probed(probe, true, now_);
        (void)host.groups->take_events();
        send_orders(node);
    }

    void pump(NodeId node) {
        ControlHost& host = at(node);
        const auto messages = host.replica->pump();
        ASSERT_TRUE(messages);
        for (const RaftEnvelope& envelope : *messages)
            when_read(envelope.to, now_ + milliseconds(random_() % 3 == 0 ? 60 : 1),
                      [this, node, envelope] {
                          if (at(node).cut || at(envelope.to).cut)
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
            give(node, *item);
            if (play_.slow_to_send)
                return;
        }
    }

    void give(NodeId node, const OrderQueue::Item& item) {
        const Duration way = late();
        const auto answer = std::make_shared<OrderAnswer>(OrderAnswer::Silent);
        at_time(now_ + way, [this, item, answer] { *answer = take(item.order); });
        when_read(node, now_ + std::min(way, OrderPatience) + Step,
                  [this, node, item, answer] { at(node).groups->answered(item, *answer, now_); });
    }

    Duration late() {
        const auto most = std::chrono::duration_cast<milliseconds>(play_.most_late).count();
        if (most <= 1 || std::uniform_int_distribution<int>(0, 1)(random_) == 0)
            return milliseconds(1);
        return milliseconds(std::uniform_int_distribution<int>(1, static_cast<int>(most))(random_));
    }

    void at_time(Time when, std::function<void()> what) { pending_.emplace(when, std::move(what)); }

    // A host that is frozen reads it later; what came for an earlier life is lost.
    void when_read(NodeId node, Time when, std::function<void()> what) {
        at_time(when, [this, node, life = at(node).life, what = std::move(what)] {
            if (!up(node) || at(node).life != life)
                return;
            if (frozen(node))
                when_read(node, at(node).frozen_until, what);
            else
                what();
        });
    }

    // ---- endpoints

    void tell(Endpoint& e) {
        ++e.report.sequence;
        e.beat_due = now_ + Beat;
        for (NodeId node = 1; node <= ControlHosts; ++node)
            when_read(node, now_ + late(), [this, node, report = e.report] {
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
            tell(e);
        } else if (m.state == MemberState::Ready && e.open_at != Time{} && now_ >= e.open_at) {
            m.state = MemberState::Open;
            e.open_at = {};
            tell(e);
        } else if (e.report.leads_open_group() && gives_up(e)) {
            m.state = MemberState::Broken;
            tell(e);
        } else if (now_ >= e.beat_due) {
            tell(e);
        }
    }

    bool gives_up(Endpoint& lead) {
        const bool whole =
            std::all_of(lead.members.begin(), lead.members.end(), [&](const std::string& name) {
                return endpoints_.at(name).report.membership.epoch == lead.report.membership.epoch;
            });
        if (whole)
            lead.alone_since = {};
        else if (lead.alone_since == Time{})
            lead.alone_since = now_;
        return !whole && now_ - lead.alone_since >= StandsStill;
    }

    // Whoever starts again under its name has its address too, and takes what was meant for the
    // start before.
    OrderAnswer take(const EndpointOrder& order) {
        Endpoint& e = endpoints_.at(order.endpoint.name);
        const OrderAnswer answer = obey(e, order);
        return e.report.id == order.endpoint ? answer : OrderAnswer::Elsewhere;
    }

    OrderAnswer obey(Endpoint& e, const EndpointOrder& order) {
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
        tell(e);
        return OrderAnswer::Taken;
    }

    OrderAnswer join(Endpoint& e, const EndpointOrder& order) {
        if (order.epoch < e.seen)
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
        unlogged_joins_ += logged || names_warm_up(order.group) ? 0 : 1;
        e.seen = order.epoch;
        e.members.clear();
        for (const EndpointId& id : order.members)
            e.members.push_back(id.name);
        const auto rank = std::find(e.members.begin(), e.members.end(), e.report.id.name);
        e.report.membership = {order.group, order.epoch,
                               static_cast<std::uint32_t>(rank - e.members.begin()),
                               MemberState::Joining};
        e.ready_at = now_ + milliseconds(200);
        e.open_at = {};
        tell(e);
        return OrderAnswer::Taken;
    }

    Play play_;
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

using Fault = void (World::*)();

// Whatever goes wrong, no host joins a group while the lead of the one that it is in serves; once
// nothing does any more, all groups serve again.
void play(const Play& play, const std::vector<Fault>& faults, int most_faults) {
    World world(play);
    world.run(seconds(4));
    const int count = *rc::gen::inRange(2, most_faults);
    for (int n = 0; n < count; ++n) {
        const Fault fault = faults[*rc::gen::inRange<std::size_t>(0, faults.size())];
        (world.*fault)();
        world.run(milliseconds(*rc::gen::inRange(0, 2500)));
    }
    world.heal();
    world.words_are_on_time();
    world.run(seconds(14));
    if (!world.violations().empty())
        RC_FAIL(world.violations().front());
    if (world.open() != Pairs)
        RC_FAIL(std::to_string(world.open()) + " groups are open in the end");
}

Play any_play() {
    Play p;
    p.seed = *rc::gen::inRange<std::uint32_t>(1, 1u << 30);
    p.most_late = milliseconds(*rc::gen::inRange(2, 4000));
    p.slow_to_notice = *rc::gen::arbitrary<bool>();
    p.slow_to_send = *rc::gen::arbitrary<bool>();
    return p;
}

RC_GTEST_PROP(LeaderChange, NoHostIsTakenFromAGroupThatServes, ()) {
    play(any_play(),
         {&World::cut_leader, &World::freeze_leader, &World::kill_leader, &World::kill_follower,
          &World::end_some_group, &World::end_some_group, &World::heal},
         12);
}

RC_GTEST_PROP(LeaderChange, NorWhereEndpointsStartAgainUnderTheirNames, ()) {
    play(any_play(),
         {&World::cut_leader, &World::kill_leader, &World::restart_some_endpoint,
          &World::restart_some_endpoint, &World::end_some_group, &World::heal},
         12);
}

RC_GTEST_PROP(LeaderChange, NorWhereAFollowerIsSentASnapshot, ()) {
    play(any_play(),
         {&World::kill_follower, &World::kill_leader, &World::cut_leader, &World::end_some_group,
          &World::write_big_document, &World::write_big_document, &World::write_big_document,
          &World::heal},
         14);
}

// The plays are of use only where leaders do follow each other.
TEST(LeaderChange, AnotherHostLeadsOnceTheLeaderIsCutOff) {
    World world({.seed = 3, .slow_to_notice = true});
    world.run(seconds(4));
    EXPECT_EQ(world.open(), Pairs);
    world.cut_leader();
    world.run(seconds(2));
    EXPECT_EQ(world.takeovers(), 2);
    world.heal();
    world.end_some_group();
    world.run(seconds(4));
    EXPECT_EQ(world.open(), Pairs);
}

TEST(LeaderChange, OrdersAreHeldOverAndComeAfterTheirRecordsHaveLeftTheLog) {
    std::size_t held_over = 0;
    int unlogged_joins = 0;
    for (std::uint32_t seed = 1; seed <= 30; ++seed) {
        World world({seed, milliseconds(3500), true, true});
        world.run(seconds(4));
        for (int round = 0; round < 6; ++round) {
            world.end_some_group();
            world.end_some_group();
            world.run(milliseconds(100 + 37 * round));
            if (round % 2 == 0)
                world.cut_leader();
            world.run(milliseconds(900));
            world.heal();
            world.restart_some_endpoint();
            world.run(milliseconds(800));
        }
        held_over += world.held_over();
        unlogged_joins += world.unlogged_joins();
        EXPECT_TRUE(world.violations().empty()) << "seed " << seed;
    }
    EXPECT_GT(held_over, 0u);
    EXPECT_GT(unlogged_joins, 0);
}

TEST(LeaderChange, WhoeverWasDownIsSentASnapshot) {
    World world({.seed = 5});
    world.run(seconds(4));
    const NodeId down = world.leader() % ControlHosts + 1;
    world.kill(down);
    for (int n = 0; n < 6; ++n) {
        world.write_big_document();
        world.end_some_group();
        world.run(milliseconds(600));
    }
    world.heal();
    world.run(seconds(2));
    EXPECT_TRUE(world.was_sent_snapshot(down));
    world.kill_leader();
    world.run(seconds(6));
    EXPECT_EQ(world.open(), Pairs);
    EXPECT_TRUE(world.violations().empty());
}

} // namespace
} // namespace liftweir

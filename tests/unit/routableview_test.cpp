// What entry hosts know of the endpoints: only those that requests may be sent to. Control hosts
// push changes, and digests of ranges repair what links lost. Guards against bytes and memory that
// grow with all endpoints, and against endpoints that stay routable after they have ended.

#include "connection/codec.h"
#include "connection/wire.h"
#include "process/changefeed.h"
#include "process/groupname.h"
#include "process/registryrepair.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start{seconds(1000)};

// A control host without links: its registry, and what it sends.
struct ControlHost {
    Registry registry;
    ChangeFeed changes;

    void receive(const EndpointReport& report, bool first_hand, Time now) {
        const Registry::Item* before = registry.find(report.id);
        const bool was_routable = before != nullptr && before->report.routable();
        const bool is_change = registry.merge(report, now);
        for (const EndpointId& id : registry.take_resolved())
            changes.add_for_all(registry.find(id)->report);
        if (!is_change)
            return;
        const EndpointReport& current = registry.find(report.id)->report;
        if (first_hand)
            changes.add_reported(current, was_routable);
        else
            changes.add_forwarded(current);
    }
};

EndpointReport plain(int number) {
    EndpointReport report;
    report.id = {"plain" + std::to_string(number), 1};
    report.service = "app";
    report.address = "10.1.0.1:" + std::to_string(number + 1);
    report.zone = "zone-a";
    report.slots = 6;
    report.sequence = 1;
    return report;
}

EndpointReport engine(int number, std::uint64_t started = 1) {
    EndpointReport report;
    report.id = {"engine" + std::to_string(number), started};
    report.service = "llm";
    report.address =
        "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) + ":80";
    report.zone = "zone-a";
    report.domain = "domain-" + std::to_string(number / 37);
    report.slots = 48;
    report.sequence = 1;
    return report;
}

// ---- load of a whole site

// All endpoints of a site register, join groups and open, each report at another control host.
class SiteStart {
  public:
    explicit SiteStart(int endpoints) : endpoints_(endpoints) {}

    // Bytes that one entry host receives, and what it knows then.
    std::size_t bytes_to_entry() {
        for (int n = 0; n < endpoints_ / 100; ++n)
            report(plain(n));
        for (int n = 0; n < endpoints_; ++n)
            report(engine(n));
        for (const MemberState state :
             {MemberState::Joining, MemberState::Ready, MemberState::Open})
            for (int n = 0; n < endpoints_; ++n)
                if (state != MemberState::Open || n % GroupSize == 0)
                    report(member(n, state));
        return bytes_;
    }
    const Registry& entry() const { return entry_; }

    static constexpr int GroupSize = 12;

  private:
    EndpointReport member(int number, MemberState state) const {
        EndpointReport report = engine(number);
        const auto epoch = static_cast<Epoch>(number / GroupSize + 1);
        report.staged = {"model"};
        report.membership = {group_name("model", epoch, GroupKind::Regular), epoch,
                             static_cast<std::uint32_t>(number % GroupSize), state};
        report.sequence = 2 + static_cast<std::uint64_t>(state);
        return report;
    }

    void report(const EndpointReport& report) {
        controls_[next_++ % controls_.size()].receive(report, true, Start);
        EndpointChanges to_entry;
        for (ControlHost& control : controls_)
            for (const EndpointReport& change : control.changes.take_for_peers())
                for (ControlHost& peer : controls_)
                    if (&peer != &control)
                        peer.receive(change, false, Start);
        for (ControlHost& control : controls_)
            for (const EndpointReport& change : control.changes.take_for_entries())
                to_entry.reports.push_back(change);
        if (to_entry.reports.empty())
            return;
        bytes_ += encode(WireMessage{to_entry}).size();
        for (const EndpointReport& change : to_entry.reports)
            entry_.merge(change, Start);
    }

    int endpoints_;
    std::vector<ControlHost> controls_{std::vector<ControlHost>(10)};
    Registry entry_{false};
    std::size_t bytes_ = 0;
    std::size_t next_ = 0;
};

// One in twelve engines leads a group. Of the others an entry host receives nothing.
TEST(RoutableView, AnEntryHostGetsOneReportForEachGroupAndPlainEndpoint) {
    SiteStart site(10000);
    const std::size_t bytes = site.bytes_to_entry();
    const std::size_t routable = 10000 / SiteStart::GroupSize + 1 + 100;
    EXPECT_EQ(site.entry().routable().size(), routable);
    EXPECT_EQ(site.entry().items().size(), routable);
    EXPECT_LE(bytes, routable * 300);
}

// ---- repair

// One entry host between control hosts; its links lose pushes while they are down.
class RepairSite {
  public:
    static constexpr int Endpoints = 12;

    explicit RepairSite(bool names_held = true) : names_held_(names_held) {}

    // A random event in the life of an endpoint, reported to a random control host.
    void live(std::minstd_rand& random) {
        now_ += milliseconds(100);
        const int number = static_cast<int>(random() % Endpoints);
        std::uint64_t& started = started_[static_cast<std::size_t>(number)];
        EndpointReport report = engine(number, started);
        report.sequence = ++sequence_;
        const Epoch epoch = sequence_;
        switch (random() % 5) {
        case 0: // a new incarnation at the address
            report.id.started_ms = started = sequence_;
            break;
        case 1: // ends
            report.phase = EndpointPhase::Gone;
            started = sequence_ + 1;
            break;
        case 2: // leaves its group
            break;
        default:
            report.membership = {group_name("model", epoch, GroupKind::Regular), epoch, 0,
                                 MemberState::Open};
        }
        deliver(report, random);
    }

    // Copies a change to all control hosts, and pushes it to the entry host unless its link is
    // down.
    void deliver(const EndpointReport& report, std::minstd_rand& random) {
        ControlHost& first = controls_[random() % controls_.size()];
        first.receive(report, true, now_);
        for (const EndpointReport& change : first.changes.take_for_peers())
            for (ControlHost& peer : controls_)
                if (&peer != &first)
                    peer.receive(change, false, now_);
        for (ControlHost& control : controls_)
            for (const EndpointReport& change : control.changes.take_for_entries())
                if (random() % 3 != 0)
                    entry_.merge(change, now_);
    }

    // Rounds of repair with one control host, as lease renewals trigger them.
    void repair(const ControlHost& control) {
        for (int round = 0; round < 4; ++round) {
            now_ += seconds(1);
            if (control.registry.routable_digest() == entry_.routable_digest())
                return;
            const auto wanted = repair_.compare("c", control.registry.routable_range_digests(),
                                                entry_.routable_range_digests(), false, now_);
            const auto held = names_held_ ? routable_in(entry_, wanted) : std::vector<EndpointId>{};
            const RoutableCopy copy = copy_routable(control.registry, wanted, held, now_);
            for (const EndpointId& id : copy.unknown)
                entry_.forget(id);
            for (const RangeCopy& part : copy.parts)
                for (const EndpointReport& report : part.reports)
                    entry_.merge(report, now_);
        }
    }

    bool converged(const ControlHost& control) const {
        return control.registry.routable() == entry_.routable();
    }
    std::vector<ControlHost> controls_{std::vector<ControlHost>(3)};
    Registry entry_{false};

  private:
    bool names_held_;
    RegistryRepair repair_;
    Time now_ = Start;
    std::uint64_t sequence_ = 10;
    std::vector<std::uint64_t> started_ = std::vector<std::uint64_t>(Endpoints, 1);
};

RC_GTEST_PROP(RoutableView, ConvergesFromAnySourceAfterLostPushes, ()) {
    std::minstd_rand random(*rc::gen::inRange(1u, 1000000u));
    RepairSite site;
    const int events = *rc::gen::inRange(1, 60);
    for (int n = 0; n < events; ++n)
        site.live(random);
    const ControlHost& source = site.controls_[random() % site.controls_.size()];
    site.repair(source);
    RC_ASSERT(site.converged(source));
}

// The source knows the endpoint as not routable, or does not know it, and the entry host has a late
// report of its time as a lead.
TEST(RoutableView, ACopyWithdrawsWhatTheEntryHostAloneTakesForRoutable) {
    EndpointReport lead = engine(3);
    lead.membership = {group_name("model", 7, GroupKind::Regular), 7, 0, MemberState::Open};
    EndpointReport withdrawn = engine(3);
    withdrawn.sequence = 2;
    for (const bool known : {true, false})
        for (const bool names_held : {true, false}) {
            RepairSite site(names_held);
            if (known)
                site.controls_[0].receive(withdrawn, true, Start);
            ASSERT_TRUE(site.entry_.merge(lead, Start));
            site.repair(site.controls_[0]);
            // Planted fault: without the held ids the copy can not withdraw the endpoint.
            EXPECT_EQ(site.entry_.routable().empty(), names_held);
        }
}

// An entry host is not told when a member without requests ends, so its successor at the address
// must not wait for that.
TEST(RoutableView, AnEndpointAtTheAddressOfOneThatWasWithdrawnIsAdmitted) {
    Registry entry(false);
    EndpointReport old = engine(1);
    old.membership = {group_name("model", 7, GroupKind::Regular), 7, 0, MemberState::Open};
    ASSERT_TRUE(entry.merge(old, Start));
    old.membership = {};
    old.sequence = 2;
    ASSERT_TRUE(entry.merge(old, Start));
    EndpointReport successor = engine(1);
    successor.id = {"successor", 5};
    successor.membership = {group_name("model", 9, GroupKind::Regular), 9, 0, MemberState::Open};
    EXPECT_TRUE(entry.merge(successor, Start));
    EXPECT_EQ(entry.routable(), std::set<EndpointId>{successor.id});
}

// Another control host that knew the endpoint as routable withdraws it as well, and hosts that did
// not announce it stay silent.
TEST(ChangeFeed, OnlyTheHostThatAnnouncedAnEndpointRepeatsItsWithdrawal) {
    EndpointReport lead = engine(1);
    lead.membership = {group_name("model", 7, GroupKind::Regular), 7, 0, MemberState::Open};
    EndpointReport member = engine(1);
    member.sequence = 2;
    ChangeFeed announcer;
    announcer.add_reported(lead, false);
    EXPECT_EQ(announcer.take_for_entries().size(), 1u);
    EXPECT_TRUE(announcer.add_forwarded(member));
    EXPECT_EQ(announcer.take_for_entries().size(), 1u);
    EXPECT_FALSE(announcer.add_forwarded(member));
    ChangeFeed other;
    EXPECT_FALSE(other.add_forwarded(member));
    EXPECT_TRUE(other.take_for_entries().empty());
    other.add_reported(member, false);
    EXPECT_TRUE(other.take_for_entries().empty());
    EXPECT_EQ(other.take_for_peers().size(), 1u);
}

} // namespace
} // namespace liftweir

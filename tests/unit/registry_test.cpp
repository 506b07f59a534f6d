// Tests of the endpoint registry: two incarnations at one address, and reports that a network
// partition delayed, as several hosts receive them.

#include "process/registry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <vector>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(1000);
constexpr Duration Beat = milliseconds(1200);
constexpr std::size_t Hosts = 3;

EndpointReport report_of(const EndpointId& id, std::uint64_t sequence,
                         const std::string& service = "llm") {
    EndpointReport report;
    report.id = id;
    report.service = service;
    report.address = "10.0.0.1:80";
    report.sequence = sequence;
    return report;
}

bool serves(const Registry& registry, const EndpointId& id) {
    const Registry::Item* item = registry.find(id);
    return item != nullptr && item->report.phase == EndpointPhase::Serving;
}

bool is_present(const Registry& registry, const EndpointId& id) {
    const Registry::Item* item = registry.find(id);
    return item != nullptr && item->report.phase != EndpointPhase::Gone;
}

// A full copy, as sent to a host whose digest differs.
void copy(const Registry& from, Registry& to) {
    const auto items = from.items();
    for (const auto& [id, item] : items)
        to.merge(item.report, item.last_contact);
}

TEST(DelayedReport, ADelayedReportOfAnEndedIncarnationEndsNone) {
    for (const EndpointPhase phase : {EndpointPhase::Serving, EndpointPhase::Draining})
        for (const std::string service : {"llm", "app"}) {
            Registry registry;
            registry.merge(report_of("living", 1), Start);
            EndpointReport late = report_of("dead", 7, service);
            late.phase = phase;
            late.membership = {"small.1", 7, 0, MemberState::Open};
            EXPECT_FALSE(registry.merge(late, Start + milliseconds(300)));
            EXPECT_TRUE(serves(registry, "living"));
            EXPECT_FALSE(is_present(registry, "dead"));
        }
}

// The older incarnation deregisters, which must not end the newer one.
TEST(DelayedReport, ADelayedDeregistrationEndsOnlyItsIncarnation) {
    Registry registry;
    registry.merge(report_of("living", 1), Start);
    registry.mark_gone("dead", Start);
    EXPECT_TRUE(serves(registry, "living"));
    EXPECT_FALSE(registry.merge(report_of("dead", 3), Start));
    EXPECT_FALSE(is_present(registry, "dead"));
}

// Reports of two incarnations at one address. Those of the older one arrive in any order at any
// hosts, on time or delayed together. No address check is answered. The newer one keeps reporting.
class TwoIncarnations {
  public:
    void arrive_old(Time now) {
        const auto at = *rc::gen::inRange<std::size_t>(0, Hosts);
        EndpointReport report = report_of("old", *rc::gen::inRange<std::uint64_t>(1, 9));
        report.phase = *rc::gen::element(EndpointPhase::Serving, EndpointPhase::Draining);
        report.membership = {"small.1", 7, 0, MemberState::Open};
        hosts[at].merge(report, now);
    }
    void arrive_new(Time now) {
        const auto at = *rc::gen::inRange<std::size_t>(0, Hosts);
        hosts[at].merge(report_of("new", ++sequence_, service_), now);
        check_invariants();
    }
    // What one host has received reaches the others, in any order, some of it twice.
    void exchange() {
        const auto first = *rc::gen::inRange<std::size_t>(0, Hosts);
        for (std::size_t n = 0; n < 2 * Hosts; ++n) {
            copy(hosts[(first + n) % Hosts], hosts[(first + n + 1) % Hosts]);
            check_invariants();
        }
    }
    // A host that has accepted the newer incarnation never drops it, and never shows both.
    void check_invariants() {
        for (std::size_t n = 0; n < Hosts; ++n) {
            RC_ASSERT(!served_[n] || serves(hosts[n], "new"));
            served_[n] = served_[n] || serves(hosts[n], "new");
            RC_ASSERT(!is_present(hosts[n], "old") || !is_present(hosts[n], "new"));
        }
    }
    void check() {
        for (const Registry& host : hosts) {
            RC_ASSERT(serves(host, "new"));
            RC_ASSERT(!is_present(host, "old"));
            RC_ASSERT(host.digest() == hosts[0].digest());
        }
    }

    std::array<Registry, Hosts> hosts;

  private:
    std::string service_ = *rc::gen::element<std::string>("llm", "app");
    std::uint64_t sequence_ = 0;
    std::array<bool, Hosts> served_{};
};

RC_GTEST_PROP(DelayedReport, HostsAgreeOnTheIncarnationThatKeepsReporting, ()) {
    TwoIncarnations incarnations;
    Time now = Start;
    for (int n = *rc::gen::inRange(0, 3); n > 0; --n)
        incarnations.arrive_old(now);
    if (*rc::gen::arbitrary<bool>())
        incarnations.exchange();
    const int delayed_until = *rc::gen::inRange(0, 3);
    for (int beat = 0; beat < 8; ++beat) {
        now += Beat;
        incarnations.arrive_new(now);
        for (int n = beat == delayed_until ? *rc::gen::inRange(0, 4) : 0; n > 0; --n)
            incarnations.arrive_old(now + milliseconds(10));
        incarnations.exchange();
    }
    incarnations.check();
}

// The live incarnation confirms an address check of at least one host.
RC_GTEST_PROP(DelayedReport, HostsAgreeOnceTheAddressIsConfirmed, ()) {
    TwoIncarnations incarnations;
    Time now = Start;
    incarnations.arrive_new(now);
    for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
        incarnations.arrive_old(now);
    incarnations.exchange();
    std::size_t asked = 0;
    for (Registry& host : incarnations.hosts)
        for (const Registry::AddressCheck& due_check : host.take_address_checks(now))
            if (due_check.endpoint.id == "new" && (asked++ == 0 || *rc::gen::arbitrary<bool>()))
                host.confirmed(due_check, now);
    incarnations.exchange();
    incarnations.exchange();
    incarnations.check();
}

// An entry host receives changes only, so it can not tell which endpoint is unresponsive.
TEST(DelayedReport, AnEntryHostEndsNoUnresponsiveEndpoint) {
    Registry registry(false);
    registry.merge(report_of("living", 1), Start - seconds(60));
    for (int n = 0; n < 5; ++n)
        registry.merge(report_of("dead", 7u + static_cast<std::uint64_t>(n)), Start + n * Beat);
    EXPECT_TRUE(serves(registry, "living"));
    // A control host has resolved the conflict; both changes arrive with its next message.
    registry.mark_gone("living", Start);
    registry.merge(report_of("dead", 12), Start);
    EXPECT_TRUE(serves(registry, "dead"));
}

TEST(DelayedReport, ADrainingReportAffectsOnlyItsOwnEndpoint) {
    Registry registry;
    registry.merge(report_of("living", 1), Start);
    EndpointReport leaving = report_of("living", 2);
    leaving.phase = EndpointPhase::Draining;
    EXPECT_TRUE(registry.merge(leaving, Start));
    EXPECT_EQ(registry.find("living")->report.phase, EndpointPhase::Draining);
    EXPECT_FALSE(registry.merge(report_of("dead", 9), Start));
    EXPECT_FALSE(is_present(registry, "dead"));
}

TEST(DelayedReport, AnOldConfirmationEndsNoThirdIncarnation) {
    Registry registry;
    registry.merge(report_of("first", 5), Start);
    registry.merge(report_of("second", 1), Start);
    const auto checks = registry.take_address_checks(Start);
    registry.merge(report_of("third", 1), Start);
    for (const Registry::AddressCheck& due_check : registry.take_address_checks(Start))
        registry.confirmed(due_check, Start);
    EXPECT_TRUE(serves(registry, "third"));
    registry.confirmed(checks.front(), Start);
    EXPECT_TRUE(serves(registry, "third"));
    EXPECT_FALSE(is_present(registry, "second"));
}

// A restored endpoint is replaced at once. It is not marked as gone, since it may be the live one.
TEST(DelayedReport, ARestoredEndpointIsReplaced) {
    Registry registry;
    ASSERT_TRUE(registry.add_cached(report_of("remembered", 0), Start));
    EXPECT_TRUE(registry.merge(report_of("heard", 1), Start));
    EXPECT_TRUE(serves(registry, "heard"));
    EXPECT_EQ(registry.find("remembered"), nullptr);
}

// A delayed report is forgotten unless more of them arrive.
TEST(DelayedReport, ConflictsExpire) {
    Registry registry;
    registry.merge(report_of("living", 1), Start);
    registry.merge(report_of("dead", 7), Start);
    registry.expire(Start + seconds(6));
    EXPECT_TRUE(registry.take_address_checks(Start + seconds(6)).empty());
    EXPECT_TRUE(serves(registry, "living"));
}

// Endpoints report every 5 s. Between two reports the occupant of an address looks silent, and late
// reports of a dead one arrive one after the other.
TEST(DelayedReport, AnEndpointWithSlowHeartbeatsIsNotReplacedBetweenTwoOfThem) {
    const HeartbeatTimes slow{seconds(5)};
    Registry registry(true, slow);
    registry.merge(report_of("living", 1), Start);
    registry.merge(report_of("dead", 7), Start + milliseconds(3000));
    registry.merge(report_of("dead", 8), Start + milliseconds(4500));
    EXPECT_TRUE(serves(registry, "living"));
    EXPECT_FALSE(is_present(registry, "dead"));
}

// The same endpoint has ended: the one that keeps reporting replaces it.
TEST(DelayedReport, AnEndpointThatMissesSlowHeartbeatsIsReplaced) {
    Registry registry(true, HeartbeatTimes{seconds(5)});
    registry.merge(report_of("ended", 1), Start);
    for (int n = 0; n < 4; ++n) {
        registry.merge(report_of("next", static_cast<std::uint64_t>(n + 1)),
                       Start + seconds(1 + 5 * n));
        registry.expire(Start + seconds(2 + 5 * n));
    }
    EXPECT_TRUE(serves(registry, "next"));
    EXPECT_FALSE(is_present(registry, "ended"));
}

RC_GTEST_PROP(Registry, TheIncrementalDigestEqualsThatOfAFreshCopy, ()) {
    Registry registry;
    Time now = Start;
    const int steps = *rc::gen::inRange(1, 60);
    for (int n = 0; n < steps; ++n) {
        now += milliseconds(*rc::gen::inRange(0, 4000));
        const EndpointId id = "i-" + std::to_string(*rc::gen::inRange(0, 6));
        EndpointReport report = report_of(id, static_cast<std::uint64_t>(n) + 1);
        report.address = "10.0.0." + std::to_string(id.name.back() % 3) + ":80";
        report.slots = static_cast<std::uint32_t>(*rc::gen::inRange(1, 3));
        switch (*rc::gen::inRange(0, 7)) {
        case 0:
            registry.mark_gone(id, now);
            break;
        case 1:
            registry.forget(id);
            break;
        case 2:
            registry.add_cached(report, now);
            break;
        case 3:
            registry.expire(now + seconds(*rc::gen::inRange(0, 200)));
            break;
        case 4:
            for (const Registry::AddressCheck& due_check : registry.take_address_checks(now))
                registry.confirmed(due_check, now);
            break;
        case 5:
            registry.seen_alive(id, now);
            break;
        default:
            registry.merge(report, now);
        }
    }
    Registry fresh;
    for (const auto& [id, item] : registry.items())
        if (item.report.phase != EndpointPhase::Gone)
            RC_ASSERT(fresh.merge(item.report, now));
    RC_ASSERT(registry.digest() == fresh.digest());
}

} // namespace
} // namespace liftweir

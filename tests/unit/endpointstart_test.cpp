// Endpoints that restart under their old names, and reports that no endpoint can have sent, as
// several hosts receive them.

#include "platform/json.h"
#include "platform/workers.h"
#include "process/endpointcachefile.h"
#include "process/registry.h"
#include "unit/memstorage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(1000);
constexpr std::uint64_t Born = 1'700'000'000'000;
constexpr std::size_t Hosts = 3;

EndpointId start_of(const std::string& name, std::uint64_t number) {
    return {name, Born + 1000 * number};
}

EndpointReport report_of(const EndpointId& id, std::uint64_t sequence) {
    EndpointReport report;
    report.id = id;
    report.service = "llm";
    report.address = "10.0.0.1:80";
    report.zone = "z";
    report.slots = 48;
    report.sequence = sequence;
    return report;
}

bool is_present(const Registry& registry, const EndpointId& id) {
    const Registry::Item* item = registry.find(id);
    return item != nullptr && item->report.phase != EndpointPhase::Gone;
}

// ---- incarnations under one name

TEST(EndpointStart, ALaterStartReplacesTheEarlierOneThoughItsSequenceRestarts) {
    Registry registry;
    EndpointReport first = report_of(start_of("i-1", 1), 900);
    first.membership = {"small.1", 7, 0, MemberState::Open};
    first.staged = {"small"};
    registry.merge(first, Start);
    EXPECT_TRUE(registry.merge(report_of(start_of("i-1", 2), 1), Start + seconds(3)));
    EXPECT_TRUE(is_present(registry, start_of("i-1", 2)));
    EXPECT_FALSE(is_present(registry, start_of("i-1", 1)));
    EXPECT_FALSE(registry.find(start_of("i-1", 2))->report.grouped());
    EXPECT_EQ(registry.take_resolved(), std::vector<EndpointId>{start_of("i-1", 1)});
    EXPECT_TRUE(registry.replaced(registry.find(start_of("i-1", 1))->report));
}

TEST(EndpointStart, ALateReportOfAnEarlierStartIsIgnored) {
    for (const EndpointPhase phase :
         {EndpointPhase::Serving, EndpointPhase::Draining, EndpointPhase::Gone}) {
        Registry registry;
        registry.merge(report_of(start_of("i-1", 2), 1), Start);
        EndpointReport late = report_of(start_of("i-1", 1), 900);
        late.phase = phase;
        EXPECT_FALSE(registry.merge(late, Start + seconds(1)));
        EXPECT_TRUE(is_present(registry, start_of("i-1", 2)));
        EXPECT_FALSE(is_present(registry, start_of("i-1", 1)));
    }
}

TEST(EndpointStart, AStartAfterADeregistrationIsAdmitted) {
    Registry registry;
    registry.merge(report_of(start_of("i-1", 1), 9), Start);
    registry.mark_gone(start_of("i-1", 1), Start);
    EXPECT_FALSE(registry.merge(report_of(start_of("i-1", 1), 10), Start));
    EXPECT_TRUE(registry.merge(report_of(start_of("i-1", 2), 1), Start));
    EXPECT_TRUE(is_present(registry, start_of("i-1", 2)));
}

// A deregistration without a process start reaches one host, which forwards it to the others.
TEST(EndpointStart, ADeregistrationWithoutAStartEndsTheKnownStart) {
    Registry registry;
    registry.merge(report_of(start_of("i-1", 1), 9), Start);
    EndpointReport gone;
    gone.id = "i-1";
    gone.phase = EndpointPhase::Gone;
    registry.merge(gone, Start + milliseconds(10));
    EXPECT_FALSE(is_present(registry, start_of("i-1", 1)));
    EXPECT_EQ(registry.take_resolved(), std::vector<EndpointId>{start_of("i-1", 1)});
    registry.merge(report_of(start_of("i-1", 2), 1), Start + seconds(2));
    EXPECT_FALSE(registry.merge(gone, Start + milliseconds(10))); // again, in a copy of a range
    EXPECT_TRUE(is_present(registry, start_of("i-1", 2)));
}

// A host that has just started may receive the deregistration before the report that another host
// forwards.
TEST(EndpointStart, AnEndpointDeregisteredBeforeItsFirstReportStaysGone) {
    Registry registry;
    registry.mark_gone("i-1", Start);
    EXPECT_FALSE(registry.merge(report_of(start_of("i-1", 1), 9), Start - milliseconds(300)));
    EXPECT_FALSE(is_present(registry, start_of("i-1", 1)));
}

TEST(EndpointStart, AReportWithoutAStartChangesNoEndpointThatHasOne) {
    Registry registry;
    registry.merge(report_of(start_of("i-1", 1), 9), Start);
    EndpointReport other = report_of("i-1", 1000);
    other.phase = EndpointPhase::Draining;
    EXPECT_FALSE(registry.merge(other, Start + seconds(1)));
    EXPECT_TRUE(is_present(registry, start_of("i-1", 1)));
    EXPECT_EQ(registry.find(start_of("i-1", 1))->report.phase, EndpointPhase::Serving);
}

TEST(EndpointStart, ALaterStartAtAnotherAddressEndsTheEarlierOne) {
    Registry registry;
    registry.merge(report_of(start_of("i-1", 1), 9), Start);
    EndpointReport moved = report_of(start_of("i-1", 2), 1);
    moved.address = "10.0.0.2:80";
    EXPECT_TRUE(registry.merge(moved, Start));
    EXPECT_FALSE(is_present(registry, start_of("i-1", 1)));
}

// Several incarnations under two names, whose reports reach the hosts in any order, some twice. The
// hosts exchange their registries in any order.
class RepeatedStarts {
  public:
    void send_report(const std::string& name, std::uint64_t start, Time now) {
        const auto at = *rc::gen::inRange<std::size_t>(0, Hosts);
        const EndpointId id = start_of(name, start);
        EndpointReport report = report_of(id, ++sequences_[id]);
        report.address = name == "i-1" ? "10.0.0.1:80" : "10.0.0.2:80";
        report.phase = *rc::gen::element(EndpointPhase::Serving, EndpointPhase::Serving,
                                         EndpointPhase::Draining);
        hosts_[at].merge(report, now);
        latest_[name] = std::max(latest_[name], start);
        check_order(now);
    }
    void exchange(Time now) {
        const auto first = *rc::gen::inRange<std::size_t>(0, Hosts);
        for (std::size_t n = 0; n < 2 * Hosts; ++n) {
            const auto items = hosts_[(first + n) % Hosts].items();
            for (const auto& [id, item] : items)
                hosts_[(first + n + 1) % Hosts].merge(item.report, item.last_contact);
            check_order(now);
        }
    }
    void check_all_agree() {
        for (Registry& host : hosts_) {
            RC_ASSERT(host.digest() == hosts_[0].digest());
            for (const auto& [name, start] : latest_)
                RC_ASSERT(host.latest(name)->report.id == start_of(name, start));
        }
    }

  private:
    // At most one incarnation of a name is not gone, and it is the latest that the host knows.
    void check_order(Time) {
        for (const Registry& host : hosts_)
            for (const auto& [id, item] : host.items())
                RC_ASSERT(item.report.phase == EndpointPhase::Gone ||
                          host.latest(id.name)->report.id == id);
    }

    std::array<Registry, Hosts> hosts_;
    std::map<EndpointId, std::uint64_t> sequences_;
    std::map<std::string, std::uint64_t> latest_;
};

RC_GTEST_PROP(EndpointStart, HostsAgreeOnTheLatestStartInAnyOrderOfArrival, ()) {
    RepeatedStarts starts;
    Time now = Start;
    const int report_count = *rc::gen::inRange(1, 24);
    for (int n = 0; n < report_count; ++n) {
        now += milliseconds(*rc::gen::inRange(0, 1500));
        starts.send_report(*rc::gen::element<std::string>("i-1", "i-2"),
                           *rc::gen::inRange<std::uint64_t>(1, 5), now);
        if (*rc::gen::inRange(0, 4) == 0)
            starts.exchange(now);
    }
    starts.exchange(now);
    starts.exchange(now);
    starts.check_all_agree();
}

TEST(EndpointStart, ALaterStartReplacesACachedOne) {
    Registry registry;
    registry.add_cached(report_of(start_of("i-1", 1), 9), Start);
    EXPECT_TRUE(registry.merge(report_of(start_of("i-1", 2), 1), Start));
    EXPECT_FALSE(registry.add_cached(report_of(start_of("i-1", 1), 9), Start));
    EXPECT_TRUE(is_present(registry, start_of("i-1", 2)));
    EXPECT_FALSE(is_present(registry, start_of("i-1", 1)));
    // Every id that is returned as resolved must still be in the registry. A cached one was once
    // returned after it had been removed.
    for (const EndpointId& id : registry.take_resolved())
        EXPECT_NE(registry.find(id), nullptr) << text_of(id);
}

// ---- reports that no endpoint can have sent

Json::Value valid_body() {
    return *platform::parse_object(
        R"({"service":"llm","address":"10.0.0.9:80","zone":"z","version":"v1","slots":48,
        "state":"ready","cold-remaining-ms":0,"sequence":4,"born":1700000000000,"domain":"d0",
        "staged":["m"],"models":[],"stage":"dual",
        "group":{"name":"m.12","epoch":12,"rank":0,"state":"open"}})");
}

tl::expected<EndpointReport, ReportFault> read(const Json::Value& body) {
    return platform::read_registration("i-1", to_text(body));
}

TEST(ForeignReport, AValidReportIsReadWhole) {
    const auto report = read(valid_body());
    ASSERT_TRUE(report);
    EXPECT_EQ(report->id, EndpointId("i-1", 1700000000000));
    EXPECT_TRUE(report->leads_open_group());
    EXPECT_EQ(report->sequence, 4u);
}

TEST(ForeignReport, IsRejectedWithItsFault) {
    const std::vector<std::tuple<const char*, Json::Value, ReportFault>> invalid = {
        {"state", "asleep", ReportFault::Phase},
        {"state", 1, ReportFault::Phase},
        {"slots", "many", ReportFault::Slots},
        {"slots", -1, ReportFault::Slots},
        {"sequence", "first", ReportFault::Sequence},
        {"sequence", -4, ReportFault::Sequence},
        {"born", "today", ReportFault::Start},
        {"born", 1.5, ReportFault::Start},
        {"born", 0, ReportFault::Start},
        {"born", Json::Value(), ReportFault::Start},
        {"zone", Json::Value(Json::arrayValue), ReportFault::Place},
        {"service", 7, ReportFault::Service},
        {"address", "somewhere", ReportFault::Address},
        {"address", "10.0.0.9:", ReportFault::Address},
        {"address", "10.0.0.9:0", ReportFault::Address},
        {"address", "10.0.0.9:80x", ReportFault::Address},
        {"group", "m.12", ReportFault::Group},
        {"staged", "m", ReportFault::Group},
        {"cold-remaining-ms", "none", ReportFault::Group},
    };
    for (const auto& [field, value, fault] : invalid) {
        Json::Value body = valid_body();
        body[field] = value;
        const auto report = read(body);
        ASSERT_FALSE(report) << field << " " << value;
        EXPECT_EQ(report.error(), fault) << field << " " << value;
    }
    EXPECT_EQ(platform::read_registration("i-1", "{\"ser").error(), ReportFault::Unreadable);
    EXPECT_EQ(platform::read_registration("", to_text(valid_body())).error(), ReportFault::Name);
}

RC_GTEST_PROP(ForeignReport, IsRejectedWithoutARequiredField, ()) {
    Json::Value body = valid_body();
    body.removeMember(*rc::gen::element<std::string>("service", "address", "zone", "version",
                                                     "slots", "state", "cold-remaining-ms",
                                                     "sequence"));
    RC_ASSERT(!read(body));
}

Json::Value any_value() {
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
        return Json::Value(*rc::gen::arbitrary<int>());
    case 1:
        return Json::Value(0.5 + *rc::gen::inRange(-3, 3));
    case 2:
        return Json::Value(*rc::gen::arbitrary<bool>());
    case 3:
        return Json::Value(Json::arrayValue);
    case 4:
        return Json::Value(Json::objectValue);
    default:
        return Json::Value(*rc::gen::element<std::string>("", "ready", "open", "x", "10.0.0.1:80"));
    }
}

RC_GTEST_PROP(ForeignReport, IsAcceptedOnlyInTheFormThatEndpointsSend, ()) {
    Registry registry;
    registry.merge(*read(valid_body()), Start);
    Json::Value body = valid_body();
    const auto names = body.getMemberNames();
    for (int n = *rc::gen::inRange(1, 3); n > 0; --n)
        body[*rc::gen::elementOf(names)] = any_value();
    const auto report = read(body);
    if (report) {
        RC_ASSERT(fault_of(*report) == ReportFault::None);
        RC_ASSERT(body["state"] == "ready" || body["state"] == "draining");
        RC_ASSERT(body["slots"].isUInt() && body["sequence"].isUInt64());
        RC_ASSERT(body["born"].isUInt64() && body["zone"].isString());
    } else {
        RC_ASSERT(report.error() != ReportFault::None);
    }
    RC_ASSERT(is_present(registry, EndpointId("i-1", 1700000000000)));
}

RC_GTEST_PROP(ForeignReport, EveryValidReportIsAccepted, ()) {
    Json::Value body = valid_body();
    body["slots"] = *rc::gen::inRange(0, 1000);
    body["sequence"] = *rc::gen::inRange(0, 1 << 30);
    body["state"] = *rc::gen::element<std::string>("ready", "draining");
    body["group"]["state"] =
        *rc::gen::element<std::string>("joining", "ready", "open", "closing", "broken");
    for (const char* field : {"born", "domain", "staged", "models", "stage", "group"})
        if (*rc::gen::arbitrary<bool>())
            body.removeMember(field);
    const auto report = read(body);
    RC_ASSERT(report.has_value());
    Registry registry;
    RC_ASSERT(registry.merge(*report, Start));
}

// Another control host, or the file from before a restart, may hold invalid reports.
TEST(ForeignReport, IsRejectedFromPeersAndFromDisk) {
    std::vector<EndpointReport> invalid(5, report_of("i-2", 1));
    invalid[0].service.clear();
    invalid[1].address = "nowhere";
    invalid[2].phase = static_cast<EndpointPhase>(9);
    invalid[3].membership = {"m.1", 7, 0, static_cast<MemberState>(77)};
    invalid[4].id.name.clear();
    for (const EndpointReport& report : invalid) {
        Registry registry;
        registry.merge(report_of("i-1", 1), Start);
        EXPECT_FALSE(registry.merge(report, Start));
        EXPECT_FALSE(registry.add_cached(report, Start));
        EXPECT_EQ(registry.items().size(), 1u);
    }
}

TEST(ForeignReport, CanNotMoveAnEndpoint) {
    Registry registry;
    registry.merge(report_of(start_of("i-1", 1), 1), Start);
    EndpointReport other = report_of(start_of("i-1", 1), 2);
    other.address = "10.0.0.7:80";
    EXPECT_FALSE(registry.merge(other, Start));
    EXPECT_EQ(registry.find(start_of("i-1", 1))->report.address, "10.0.0.1:80");
}

} // namespace
} // namespace liftweir

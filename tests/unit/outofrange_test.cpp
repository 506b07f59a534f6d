// Numbers from outside the process that are out of range: in registrations, in reports that other
// hosts pass on, and in the operators' document. None of them may end a process.

#include "connection/codec.h"
#include "platform/document.h"
#include "platform/json.h"
#include "platform/workers.h"
#include "process/groupplanner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>
#include <vector>

namespace liftweir::platform {
namespace {

constexpr Time Start = Time{} + std::chrono::seconds(1000);

const std::string ValidReport = R"({"service":"llm","address":"10.0.0.9:80","zone":"z",
 "version":"v1","slots":48,"state":"ready","cold-remaining-ms":0,"sequence":4,"born":1700000000000,
 "domain":"d0","staged":["m"],"group":{"name":"m.12","epoch":12,"rank":0,"state":"ready"}})";

const std::string ValidEngine = R"({"version":1,"routes":[],"services":[{"name":"llm",
 "max-connections":332,"cold-per-s":5.0,"engine":{"slots":48,"stride":3,"chunk":2048,"step_ms":6.07,
 "per_seq_ms":0.241,"read_per_s":46000.0,"loads_per_s":3.0,"loads_at_once":6,"far_x":3.0,
 "form_ms":300.0,"keeps":1,"usual":{"prompt":1000,"answer":85},"models":[{"name":"m","size":2,
 "share":0.67,"pace":1.0,"load_s":16.0,"warm-s":1.6}]}}]})";

// Numbers at the limits of the types that hold them, beyond these, and values of other types.
const std::vector<std::string> Extremes = {"0",
                                           "-1",
                                           "1.5",
                                           "-0.0",
                                           "1e-320",
                                           "2147483648",
                                           "3000000000.0",
                                           "4294967295",
                                           "4294967295.0",
                                           "4294967296",
                                           "9007199254740993",
                                           "9223372036854775807",
                                           "-9223372036854775808",
                                           "18446744073709551615",
                                           "18446744073709551616",
                                           "1e18",
                                           "1e19",
                                           "1e300",
                                           "-1e300",
                                           "null",
                                           "true",
                                           "[]",
                                           "{}",
                                           "\"1\"",
                                           "\"NaN\""};

Json::Value parsed(const std::string& text) {
    return *parse_object("{\"value\":" + text + "}");
}

// Sets the field at the path, such as {"group", "rank"}, to a value in JSON. A list on the way
// stands for its first item.
std::string with_field(const std::string& body, const std::vector<std::string>& path,
                       const std::string& value) {
    Json::Value root = *parse_object(body);
    Json::Value* at = &root;
    for (const std::string& field : path) {
        at = &(*at)[field];
        if (at->isArray())
            at = &(*at)[0];
    }
    *at = parsed(value)["value"];
    return to_text(root);
}

// What a control host does with a report.
struct ControlHost {
    Registry registry;
    GroupPlanner planner;
    Time now = Start;

    explicit ControlHost(bool first_start = true) : planner("llm", {}, first_start) {
        configure(ValidEngine);
    }

    void configure(const std::string& document) {
        const auto deployment = read_document(document);
        if (deployment)
            planner.configure(*deployment->service("llm")->engine);
    }
    bool merge(const EndpointReport& report) {
        if (!registry.merge(report, now))
            return false;
        planner.observe(registry.find(report.id)->report, now);
        return true;
    }
    void plan_for_seconds(int seconds) {
        for (int n = 0; n < seconds; ++n) {
            now += std::chrono::seconds(1);
            for (const EndpointOrder& order : planner.plan(registry, now))
                planner.answered(order, OrderAnswer::Taken, now);
            const GroupChanges changes = planner.take_changes();
            for (const EndpointOrder& order : planner.recorded(changes, registry, now))
                planner.answered(order, OrderAnswer::Taken, now);
        }
    }
};

EndpointReport report_with(const std::vector<std::string>& path, const std::string& value) {
    const auto report = read_registration("i-1", with_field(ValidReport, path, value));
    EXPECT_TRUE(report) << path.back() << " " << value;
    return report.value_or(EndpointReport{});
}

TEST(OutOfRange, ARankBeyondAnyGroupDoesNotEndTheControlHost) {
    for (const char* rank : {"4294967295.0", "4294967295", "3000000000.0", "1024"}) {
        const auto report =
            read_registration("i-1", with_field(ValidReport, {"group", "rank"}, rank));
        ASSERT_FALSE(report) << rank;
        EXPECT_EQ(report.error(), ReportFault::Group) << rank;
    }
    EXPECT_EQ(report_with({"group", "rank"}, "1023").membership.rank, 1023u);
}

// Peers pass on reports in another encoding, and ends without the fields of the last report.
TEST(OutOfRange, ARankBeyondAnyGroupFromAPeerIsIgnored) {
    for (const EndpointPhase phase :
         {EndpointPhase::Serving, EndpointPhase::Draining, EndpointPhase::Gone})
        for (const std::uint32_t rank : {std::uint32_t{1024}, 3'000'000'000u, 4'294'967'295u}) {
            ControlHost host;
            EndpointReport report = report_with({"group", "rank"}, "0");
            report.phase = phase;
            report.membership.rank = rank;
            const auto received = decode_struct<EndpointReport>(encode_struct(report));
            ASSERT_TRUE(received);
            EXPECT_FALSE(host.merge(*received));
            EXPECT_FALSE(host.registry.add_cached(*received, Start));
            EXPECT_TRUE(host.registry.items().empty());
        }
}

TEST(OutOfRange, ARejectedRegistrationChangesNothing) {
    const std::vector<std::vector<std::string>> fields = {{"slots"},          {"sequence"},
                                                          {"born"},           {"cold-remaining-ms"},
                                                          {"group", "epoch"}, {"group", "rank"}};
    for (const auto& field : fields) {
        int rejected = 0;
        for (const std::string& value : Extremes) {
            ControlHost host;
            host.merge(report_with({"sequence"}, "1"));
            const std::uint64_t before = host.registry.digest();
            const auto report = read_registration("i-1", with_field(ValidReport, field, value));
            if (report) {
                host.merge(*report);
                host.plan_for_seconds(3);
                continue;
            }
            ++rejected;
            EXPECT_EQ(host.registry.digest(), before);
        }
        EXPECT_GE(rejected, 5) << field.back();
    }
}

TEST(OutOfRange, SlotsBeyondAnyHostAreRejected) {
    const auto report = read_registration("i-1", with_field(ValidReport, {"slots"}, "1000001"));
    ASSERT_FALSE(report);
    EXPECT_EQ(report.error(), ReportFault::Slots);
    EXPECT_EQ(report_with({"slots"}, "1000000").slots, 1'000'000u);
}

TEST(OutOfRange, AnEngineThatCanNotBePlannedForIsRejected) {
    const std::vector<std::vector<std::string>> fields = {
        {"loads_per_s"}, {"step_ms"},         {"per_seq_ms"},    {"read_per_s"},
        {"far_x"},       {"models", "share"}, {"models", "pace"}};
    for (const auto& field : fields)
        for (const char* value : {"1e18", "1e300", "-1"}) {
            std::vector<std::string> path = {"services", "engine"};
            path.insert(path.end(), field.begin(), field.end());
            EXPECT_FALSE(read_document(with_field(ValidEngine, path, value)))
                << field.back() << " " << value;
        }
    EXPECT_FALSE(
        read_document(with_field(ValidEngine, {"services", "engine", "models", "size"}, "1025")));
    EXPECT_TRUE(
        read_document(with_field(ValidEngine, {"services", "engine", "models", "size"}, "1024")));
}

RC_GTEST_PROP(OutOfRange, EveryDocumentThatIsAcceptedCanBePlannedFor, ()) {
    const std::vector<std::vector<std::string>> fields = {
        {"slots"},           {"stride"},          {"chunk"},          {"step_ms"},
        {"per_seq_ms"},      {"read_per_s"},      {"loads_per_s"},    {"loads_at_once"},
        {"far_x"},           {"form_ms"},         {"keeps"},          {"usual", "answer"},
        {"models", "size"},  {"models", "share"}, {"models", "pace"}, {"models", "load_s"},
        {"models", "warm-s"}};
    std::string document = ValidEngine;
    const auto changes = *rc::gen::inRange(1, 3);
    for (int n = 0; n < changes; ++n) {
        std::vector<std::string> path = {"services", "engine"};
        const auto& field = *rc::gen::elementOf(fields);
        path.insert(path.end(), field.begin(), field.end());
        document = with_field(document, path, *rc::gen::elementOf(Extremes));
    }
    if (!read_document(document))
        return;
    ControlHost host(*rc::gen::arbitrary<bool>());
    host.configure(document);
    host.planner.take_over(1, Start, {}, true);
    for (int n = 0; n < 6; ++n) {
        EndpointReport report = report_with({"group"}, "null");
        report.id = EndpointId("i-" + std::to_string(n), 1);
        report.address = "10.0.0." + std::to_string(n + 1) + ":80";
        report.staged.clear();
        host.merge(report);
    }
    host.plan_for_seconds(8);
}

RC_GTEST_PROP(OutOfRange, NoReportOfAPeerEndsTheControlHost, ()) {
    const auto number = [] {
        return *rc::gen::element<std::uint64_t>(0, 1, 7, 1023, 1024, 1u << 31, 0xffffffffu,
                                                std::numeric_limits<std::uint64_t>::max());
    };
    ControlHost host;
    host.planner.take_over(1, Start);
    const auto count = *rc::gen::inRange(1, 20);
    for (int n = 0; n < count; ++n) {
        EndpointReport report = report_with({"group"}, "null");
        report.id = EndpointId("i-" + std::to_string(*rc::gen::inRange(0, 4)), number());
        report.address = "10.0.0." + std::to_string(*rc::gen::inRange(0, 4)) + ":80";
        report.phase = static_cast<EndpointPhase>(*rc::gen::inRange(0, 5));
        report.slots = static_cast<std::uint32_t>(number());
        report.sequence = number();
        report.membership = {"m.7", number(), static_cast<std::uint32_t>(number()),
                             static_cast<MemberState>(*rc::gen::inRange(0, 8))};
        if (const auto received = decode_struct<EndpointReport>(encode_struct(report)))
            host.merge(*received);
        host.plan_for_seconds(1);
    }
}

} // namespace
} // namespace liftweir::platform

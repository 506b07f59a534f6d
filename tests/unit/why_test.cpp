// Finds the log lines that explain the outcome of a request, and bounds what a process logs.

#include "ctl/session.h"
#include "ctl/why.h"
#include "process/logging.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

namespace liftweir {
namespace {

const std::string Logs =
    "  1.0 core {\"ms\":1000,\"process\":\"core\",\"message\":\"leads\",\"term\":\"3\"}\n"
    "no json here\n"
    "{\"ms\":5000,\"process\":\"core\",\"message\":\"group suspected\",\"endpoint\":\"i-1\","
    "\"group\":\"m.7\",\"why\":\"its streams stalled\"}\n"
    "{\"ms\":5220,\"process\":\"core\",\"message\":\"group dissolved\",\"endpoint\":\"i-1\","
    "\"group\":\"m.7\",\"why\":\"member i-2 does not answer\"}\n"
    "{\"ms\":5100,\"process\":\"core\",\"message\":\"group dissolved\",\"endpoint\":\"i-9\","
    "\"group\":\"m.8\",\"why\":\"another one\"}\n"
    "{\"ms\":5230,\"process\":\"e1\",\"message\":\"attempt ended\",\"request\":\"r1\","
    "\"endpoint\":\"i-1\",\"why\":\"the endpoint aborted the request\"}\n"
    "{\"ms\":5300,\"process\":\"e1\",\"message\":\"call\",\"request\":\"r2\",\"endpoints\":\"i-1\"}"
    "\n"
    "{\"ms\":5400,\"process\":\"e1\",\"message\":\"call\",\"request\":\"r1\",\"endpoints\":\"i-1\","
    "\"status\":\"0\",\"took_ms\":\"900\",\"why\":\"no attempt is left\"}\n";

TEST(Why, JoinsTheLogsOfAllProcessesByRequestEndpointAndGroup) {
    const auto related = related_lines("r1", parse_log(Logs));
    std::vector<std::string> messages;
    for (const LogLine& line : related)
        messages.push_back(line.message);
    EXPECT_EQ(messages, (std::vector<std::string>{"leads", "group suspected", "group dissolved",
                                                  "attempt ended", "call"}));
    EXPECT_EQ(related[2].fields.at("why"), "member i-2 does not answer");
}

// In deployments with agents, each attempt of a request is logged as ENTRY-NUMBER-ATTEMPT.
TEST(Why, AnAttemptIsRelatedToItsRequestAndItsGroup) {
    const std::string logs =
        "{\"ms\":100,\"process\":\"host-a1\",\"message\":\"endpoint_ended\",\"group\":\"10\","
        "\"request\":\"77-5-1\"}\n"
        "{\"ms\":110,\"process\":\"host-a2\",\"message\":\"endpoint_ended\",\"group\":\"11\","
        "\"request\":\"77-51-1\"}\n"
        "{\"ms\":150,\"process\":\"control-1\",\"message\":\"group_dissolved\","
        "\"group\":\"10\"}\n"
        "{\"ms\":120,\"process\":\"entry-1\",\"message\":\"request_failed\","
        "\"request\":\"77-5-0\"}\n";
    std::vector<std::string> messages;
    for (const LogLine& line : related_lines("77-5-0", parse_log(logs)))
        messages.push_back(line.message);
    EXPECT_EQ(messages,
              (std::vector<std::string>{"endpoint_ended", "request_failed", "group_dissolved"}));
}

// Endpoints that report their start time are logged as NAME@START. Rejected reports are logged
// under the name alone.
TEST(Why, RelatesAllIncarnationsOfAnEndpointAndReportsUnderItsName) {
    const std::string logs =
        "{\"ms\":900,\"process\":\"core\",\"message\":\"endpoint\",\"id\":\"i-1@1700\"}\n"
        "{\"ms\":950,\"process\":\"core\",\"message\":\"report refused\",\"endpoint\":\"i-1\","
        "\"why\":\"slots\"}\n"
        "{\"ms\":960,\"process\":\"core\",\"message\":\"endpoint\",\"id\":\"i-2@1800\"}\n"
        "{\"ms\":1000,\"process\":\"e1\",\"message\":\"call\",\"request\":\"r1\","
        "\"endpoints\":\"i-1@1800\",\"status\":\"502\",\"took_ms\":\"90\"}\n";
    std::vector<std::string> messages;
    for (const LogLine& line : related_lines("r1", parse_log(logs)))
        messages.push_back(line.message);
    EXPECT_EQ(messages, (std::vector<std::string>{"endpoint", "report refused", "call"}));
}

TEST(Why, FindsNothingForAnUnknownRequest) {
    EXPECT_TRUE(related_lines("nobody", parse_log(Logs)).empty());
    EXPECT_TRUE(parse_log("garbage {\n{]").empty());
}

// A directory can be opened like a file, but every read of it fails.
TEST(Why, ALogThatCanNotBeReadIsNotTakenForAnEmptyOne) {
    EXPECT_EQ(explain_request("nobody", {"/"}), CtlUsage);
    EXPECT_EQ(explain_request("nobody", {"/no/such/log"}), CtlUsage);
}

TEST(LogBudget, BoundsLinesPerSecondAndCountsDroppedLines) {
    LogBudget budget(3);
    int taken = 0;
    for (int i = 0; i < 10; ++i)
        if (budget.take(1))
            ++taken;
        else
            budget.dropped("call");
    EXPECT_EQ(taken, 3);
    EXPECT_TRUE(budget.take(2));
    EXPECT_EQ(budget.take_dropped().at("call"), 7u);
    EXPECT_FALSE(budget.has_dropped());
}

// A reader of the log that stops reading must not block the process.
TEST(Logging, AFullPipeDropsLinesInsteadOfBlocking) {
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    const std::string line(1000, 'x');
    int written = 0;
    while (written < 1000 && try_write_line(ends[1], line))
        ++written;
    EXPECT_GT(written, 10);
    EXPECT_LT(written, 1000);
    EXPECT_FALSE(try_write_line(ends[1], line));
    char buffer[8192];
    ASSERT_GT(read(ends[0], buffer, sizeof buffer), 0);
    ASSERT_GT(read(ends[0], buffer, sizeof buffer), 0);
    EXPECT_TRUE(try_write_line(ends[1], line));
    close(ends[0]);
    close(ends[1]);
}

} // namespace
} // namespace liftweir

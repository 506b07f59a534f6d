// Bounds the CPU time of one planning round with thousands of endpoints: a leader that plans for
// longer than the election timeout sends no heartbeats meanwhile and loses its leadership.

#include "process/groupplanner.h"
#include "unit/cputime.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The smallest control hosts have 0.3 of a core, and the others elect a new leader after 350 ms
// without heartbeats. On such a host, 105 ms of CPU time take 350 ms.
constexpr Duration MaxRoundCpuTime = milliseconds(105);

EngineCost engine(std::uint32_t big, std::uint32_t small) {
    EngineCost e;
    e.slots = 48;
    e.loads_per_second = 300;
    e.loads_at_once = 600;
    e.open_delay = milliseconds(300);
    e.models = {{"big", big, 0.6, 1.0, seconds(16), milliseconds(1600)},
                {"small", small, 0.4, 0.6, seconds(12), milliseconds(1100)}};
    return e;
}

class LargeFleet {
  public:
    LargeFleet(int domains, int hosts, const EngineCost& cost = engine(12, 6)) {
        planner_.configure(cost);
        for (int d = 0; d < domains; ++d)
            for (int h = 0; h < hosts; ++h)
                add("d" + std::to_string(d), reports_.size());
        planner_.take_over(1, now_);
    }

    // Runs planning rounds in which every order is carried out at once, and returns the CPU time of
    // the longest one.
    Duration longest_round(int rounds) {
        Duration longest{};
        for (int n = 0; n < rounds; ++n) {
            now_ += milliseconds(150);
            const Duration started = cpu_time();
            std::vector<EndpointOrder> orders = planner_.plan(registry_, now_);
            longest = std::max(longest, cpu_time() - started);
            const auto joins = planner_.recorded(planner_.take_changes(), registry_, now_);
            orders.insert(orders.end(), joins.begin(), joins.end());
            orders_ += orders.size();
            for (const EndpointOrder& order : orders)
                carry_out(order);
            (void)planner_.take_events();
            for (auto& [id, report] : reports_)
                send_report(report);
        }
        return longest;
    }

    std::size_t orders() const { return orders_; }

  private:
    void add(const std::string& domain, std::size_t number) {
        EndpointReport report;
        report.id = {"i-" + std::to_string(10000 + number), 7};
        report.service = "llm";
        report.address =
            "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) + ":80";
        report.zone = "z";
        report.domain = domain;
        send_report(reports_.emplace(report.id, report).first->second);
    }

    void send_report(EndpointReport& report) {
        ++report.sequence;
        if (registry_.merge(report, now_))
            planner_.observe(report, now_);
    }

    void carry_out(const EndpointOrder& order) {
        EndpointReport& report = reports_.at(order.endpoint);
        if (order.kind == OrderKind::Join) {
            const auto rank = std::find(order.members.begin(), order.members.end(), order.endpoint);
            report.staged = {order.model};
            report.membership = {order.group, order.epoch,
                                 static_cast<std::uint32_t>(rank - order.members.begin()),
                                 MemberState::Ready};
        } else if (order.kind == OrderKind::Open) {
            report.membership.state = MemberState::Open;
        } else if (order.kind == OrderKind::Stage) {
            report.staged = {order.model};
        }
        planner_.answered(order, OrderAnswer::Taken, now_);
    }

    Time now_{seconds(100)};
    GroupPlanner planner_{"llm", GroupPlannerConfig{}, true};
    Registry registry_;
    std::map<EndpointId, EndpointReport> reports_;
    std::size_t orders_ = 0;
};

void expect_short_rounds(LargeFleet fleet) {
    const Duration longest = fleet.longest_round(20);
    testing::Test::RecordProperty("longest_ms", std::to_string(to_millis(longest)));
    EXPECT_GT(fleet.orders(), 3000u);
    EXPECT_LT(longest, MaxRoundCpuTime);
}

TEST(PlannerRounds, FirstLayoutOfThreeThousandEndpointsIsFasterThanAnElection) {
    expect_short_rounds({30, 100});
}

TEST(PlannerRounds, FirstLayoutInThreeLargeDomainsIsFasterThanAnElection) {
    expect_short_rounds({3, 1000});
}

TEST(PlannerRounds, FirstLayoutOfAThousandGroupsIsFasterThanAnElection) {
    expect_short_rounds({375, 8, engine(4, 2)});
}

} // namespace
} // namespace liftweir

// Loads that exceed the capacity of the remaining groups, simulated in virtual time.

#include "unit/groupsimulator.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulates five entry hosts and two groups for 30 s with each of the seeds. One group is lost
// every 4.5 s and replaced after 0.9 s.
std::vector<SimulatedResult> simulate_losses(const std::vector<SimulatedRequestKind>& kinds,
                                             std::uint64_t seeds) {
    std::vector<Duration> losses;
    for (int i = 1; i <= 6; ++i)
        losses.push_back(i * milliseconds(4500));
    std::vector<SimulatedResult> sum(kinds.size());
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        GroupSimulator player(simulated_engine(), 2, 5, seed);
        const auto one = player.simulate(kinds, milliseconds(400), milliseconds(300), seconds(30),
                                         losses, milliseconds(900));
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            sum[i].asked += one[i].asked;
            sum[i].in_time += one[i].in_time;
            sum[i].late += one[i].late;
            sum[i].refused += one[i].refused;
        }
    }
    return sum;
}

TEST(Overload, LongPromptsAreRejectedLittleMoreOften) {
    const auto results = simulate_losses({{33.8, 1400, 20}, {3.8, 5600, 20}}, 20);
    EXPECT_LT(results[1].refused_part(), 1.25 * results[0].refused_part());
}

TEST(Overload, NewRequestsAreInTimeWhileBrokenStreamsResume) {
    const auto results = simulate_losses({{23.2, 1460, 30}, {14.4, 2000, 5}}, 20);
    EXPECT_GT(results[0].in_time_part(), 0.47);
    EXPECT_GT(results[1].in_time_part(), 0.74);
}

TEST(Overload, LateRequestsAreRejectedBeforeGroupsAreHalfFull) {
    const auto results = simulate_losses({{33.8, 1400, 20}, {3.8, 5600, 20}}, 100);
    EXPECT_GT(results[0].in_time_part(), 0.535);
    EXPECT_GT(results[1].in_time_part(), 0.455);
}

TEST(Balance, FiftyEntryHostsFindTheGroupsWithFreeSlots) {
    std::vector<Duration> losses;
    for (int i = 1; i <= 12; ++i)
        losses.push_back(i * milliseconds(1500));
    std::vector<SimulatedResult> sum(2);
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        GroupSimulator player(simulated_engine(), 10, 50, seed);
        player.exchange_shares();
        const auto one = player.simulate({{80, 1460, 19}, {40, 2000, 5}}, milliseconds(500),
                                         milliseconds(400), seconds(20), losses, milliseconds(900));
        for (std::size_t i = 0; i < sum.size(); ++i) {
            sum[i].asked += one[i].asked;
            sum[i].in_time += one[i].in_time;
        }
    }
    EXPECT_GT(sum[0].in_time_part(), 0.78);
    EXPECT_GT(sum[1].in_time_part(), 0.88);
}

// Traffic begins, far below what the groups take: all of them are idle, and each of 300 entry
// hosts knows as little as the others and receives a request every 1.5 s.
TEST(Overload, TheFirstRequestsOfManyHostsSpreadOverAllGroups) {
    GroupSimulator player(simulated_engine(), 60, 300, 1);
    player.exchange_shares();
    const auto results = player.simulate({{200, 1000, 5}}, milliseconds(500), milliseconds(400),
                                         seconds(4), {}, milliseconds(900));
    EXPECT_GT(results[0].in_time_part(), 0.95);
}

// The load balancer hands all new connections to one entry host. The others become idle, and that
// host learns that the load it sees is nearly all there is.
TEST(Funnel, RequestsAreServedAtTheFirstAttemptByOneHostOfMany) {
    for (const int hosts : {3, 16, 120}) {
        const auto served_from = [&](Duration begin, bool one_host) {
            GroupSimulator player(simulated_engine(), 8, hosts, 7);
            player.exchange_shares();
            player.update_load_shares();
            if (one_host)
                player.send_all_to_one_host(seconds(10));
            player.count_requests(begin, begin + seconds(8));
            const auto results = player.simulate({{120, 1000, 20}}, milliseconds(400),
                                                 milliseconds(300), seconds(24), {}, seconds(1));
            return static_cast<double>(results[0].served_at_first()) / results[0].asked;
        };
        const double before = served_from(seconds(2), false);
        EXPECT_GT(before, 0.9) << hosts;
        EXPECT_GT(served_from(seconds(13), true), 0.75 * before) << hosts;
    }
}

} // namespace
} // namespace liftweir

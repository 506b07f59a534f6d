// Simulation of entry hosts that start together, and of a control host that sums their calls.

#include "request/loadshare.h"

#include <gtest/gtest.h>

#include <numeric>
#include <vector>

namespace liftweir {
namespace {

constexpr std::uint32_t CallsOfEach = 20;
// Renewals of an entry host in one second; control sums once a second.
const std::string Control = "control-1";

struct Host {
    ReportedCalls reported;
    LoadShare load_share;
    std::uint32_t in_flight = 0;
    std::uint32_t known_to_control = 0;
};

double sum_of_shares(const std::vector<Host>& hosts) {
    return std::accumulate(hosts.begin(), hosts.end(), 0.0, [](double sum, const Host& host) {
        return sum + host.load_share.share();
    });
}

// The hosts renew one after the other, and control sums when half of them have done so.
void renew_all(std::vector<Host>& hosts, std::uint32_t& total) {
    const auto entries = static_cast<std::uint32_t>(hosts.size());
    for (std::size_t n = 0; n < hosts.size(); ++n) {
        if (n == hosts.size() / 2)
            total = std::accumulate(
                hosts.begin(), hosts.end(), 0u,
                [](std::uint32_t sum, const Host& host) { return sum + host.known_to_control; });
        Host& host = hosts[n];
        host.reported.sent(Control, host.in_flight);
        host.known_to_control = host.in_flight;
        host.load_share.update({host.reported.counted(Control), total, entries});
    }
}

TEST(LoadShare, SharesOfEntryHostsThatStartTogetherDoNotExceedTheWhole) {
    for (const std::size_t count : {1, 3, 15, 90}) {
        std::vector<Host> hosts(count);
        std::uint32_t total = 0;
        for (int second = 0; second < 20; ++second) {
            renew_all(hosts, total);
            EXPECT_LE(sum_of_shares(hosts), 1.2) << count << " hosts, second " << second;
            EXPECT_GE(sum_of_shares(hosts), 0.8) << count << " hosts, second " << second;
            for (Host& host : hosts)
                host.in_flight = CallsOfEach;
        }
    }
}

} // namespace
} // namespace liftweir

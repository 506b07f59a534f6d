// Tests the first assignment of models to hosts.

#include "process/firstlayout.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(FirstLayout, GivesEachDomainOneModelAndEachModelItsShare) {
    std::vector<ColdHost> hosts;
    for (int d = 0; d < 3; ++d)
        for (int h = 0; h < 8; ++h)
            hosts.push_back({std::to_string(d) + std::to_string(h), "d" + std::to_string(d)});
    const std::vector<ModelShape> models = {
        {"big", 4, 0.67, 1.0, seconds(16), milliseconds(1600)},
        {"small", 2, 0.33, 0.6, seconds(12), milliseconds(1100)}};
    const auto layout = assign_models(hosts, models);
    ASSERT_EQ(layout.size(), hosts.size());
    std::map<std::string, std::set<std::string>> domains;
    std::map<std::string, int> count;
    for (const ColdHost& host : hosts) {
        domains[layout.at(host.id)].insert(host.domain);
        ++count[layout.at(host.id)];
    }
    EXPECT_EQ(domains["big"].size(), 2u);
    EXPECT_EQ(domains["small"].size(), 1u);
    EXPECT_EQ(count["big"], 16);
    EXPECT_EQ(count["small"], 8);
}

RC_GTEST_PROP(FirstLayout, GivesEveryHostAModel, ()) {
    std::vector<ColdHost> hosts;
    const int n = *rc::gen::inRange(0, 40);
    for (int i = 0; i < n; ++i)
        hosts.push_back({std::to_string(i), "d" + std::to_string(*rc::gen::inRange(0, 4))});
    std::vector<ModelShape> models;
    const int kinds = *rc::gen::inRange(1, 4);
    for (int i = 0; i < kinds; ++i)
        models.push_back({"m" + std::to_string(i),
                          static_cast<std::uint32_t>(*rc::gen::inRange(1, 9)), 1.0 / kinds, 1.0,
                          seconds(1), seconds(1)});
    RC_ASSERT(assign_models(hosts, models).size() == hosts.size());
}

} // namespace
} // namespace liftweir

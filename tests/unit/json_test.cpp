// JSON texts that take many times their length once they are parsed.

#include "version/keys.h"

#include <gtest/gtest.h>

namespace liftweir {
namespace {

std::string zeros(std::size_t count) {
    std::string text = "[0";
    for (std::size_t n = 1; n < count; ++n)
        text += ",0";
    return text + "]";
}

TEST(Json, ATextWithTooManyValuesIsRefusedUnparsed) {
    EXPECT_TRUE(parse_json(zeros(100'000)));
    EXPECT_FALSE(parse_json(zeros(2'000'000)));
    EXPECT_TRUE(parse_json("\"" + std::string(4u << 20, 'a') + "\"")) << "one long value";
}

TEST(Json, TheEstimateCoversWhatTheValuesTake) {
    EXPECT_GE(parsed_bytes(zeros(1000)), 1000 * sizeof(Json::Value));
    EXPECT_GE(parsed_bytes(R"({"a":{"b":[{},{}]},"c":1})"), 6 * sizeof(Json::Value));
}

} // namespace
} // namespace liftweir

// Checks of the operators' document, look-up of routes, and splitting of event streams.

#include "connection/eventsplitter.h"
#include "version/routetable.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace liftweir {
namespace {

Deployment two_routes() {
    Deployment d;
    d.version = 3;
    d.services = {{"llm", 10, std::nullopt}, {"app", 10, std::nullopt}};
    Route a;
    a.name = "a";
    a.host = "One.example";
    a.prefix = "/x/";
    a.timeout = std::chrono::seconds(1);
    a.split = {{"llm", 1}};
    Route b = a;
    b.name = "b";
    b.prefix = "/x/y/";
    b.split = {{"app", 1}};
    d.routes = {a, b};
    d.customers = {{"big", {"k1", "k2"}, 0}, {"small", {"k3"}, 1}};
    return d;
}

TEST(Deployment, AcceptsAConsistentDocument) {
    EXPECT_TRUE(check(two_routes()));
}

TEST(Deployment, EachContradictionIsRefused) {
    const auto refused = [](const std::function<void(Deployment&)>& corrupt) {
        Deployment d = two_routes();
        corrupt(d);
        const auto result = check(d);
        return !result && result.error().kind == FailureKind::BadSettings;
    };
    EXPECT_TRUE(refused([](Deployment& d) { d.routes[0].split = {{"nobody", 1}}; }));
    EXPECT_TRUE(refused([](Deployment& d) { d.routes[0].split = {{"llm", 0}, {"app", 0}}; }));
    EXPECT_TRUE(refused([](Deployment& d) { d.routes[0].split.clear(); }));
    EXPECT_TRUE(refused([](Deployment& d) { d.routes[0].timeout = {}; }));
    EXPECT_TRUE(refused([](Deployment& d) { d.routes[1].prefix = "/x/"; }));
    EXPECT_TRUE(refused([](Deployment& d) { d.customers[1].keys = {"k2"}; }));
    // The same host and prefix, spelled in two ways.
    EXPECT_TRUE(refused([](Deployment& d) {
        d.routes[1].host = "ONE.example";
        d.routes[1].prefix = "/x/";
    }));
    EXPECT_TRUE(refused([](Deployment& d) { d.routes[1].prefix = "/x"; }));
}

TEST(RouteTable, LongestPrefixWinsAndTheHostIgnoresCase) {
    const RouteTable table(two_routes());
    EXPECT_EQ(table.find("one.EXAMPLE:8080", "/x/y/z")->name, "b");
    EXPECT_EQ(table.find("one.example", "/x/yy")->name, "a");
    EXPECT_EQ(table.find("one.example", "/x/")->name, "a");
    EXPECT_EQ(table.find("one.example", "/x"), nullptr);
    EXPECT_EQ(table.find("one.example", "/"), nullptr);
    EXPECT_EQ(table.find("two.example", "/x/"), nullptr);
    EXPECT_EQ(table.find("", ""), nullptr);
}

// Guards against a route whose prefix lacks the closing slash being accepted but never matched.
TEST(RouteTable, APrefixWithoutAClosingSlashMatchesWholeSegments) {
    Deployment deployment = two_routes();
    deployment.routes[1].prefix = "/x/y";
    const RouteTable table(deployment);
    EXPECT_EQ(table.find("one.example", "/x/y/z")->name, "b");
    EXPECT_EQ(table.find("one.example", "/x/yy")->name, "a");
}

TEST(RouteTable, FindsTheCustomerOfAKey) {
    const RouteTable table(two_routes());
    EXPECT_EQ(table.customer("k2")->name, "big");
    EXPECT_EQ(table.customer("k4"), nullptr);
}

RC_GTEST_PROP(RouteTable, FindsTheSameRouteAsALinearSearch, ()) {
    const auto part = rc::gen::element<std::string>("a", "b", "ab");
    const auto path = [&] {
        std::string p = "/";
        for (const std::string& s : *rc::gen::container<std::vector<std::string>>(part))
            p += s + "/";
        return p;
    };
    Deployment d = two_routes();
    const Route pattern = d.routes[0];
    d.routes.clear();
    for (int i = 0; i < 6; ++i) {
        d.routes.push_back(pattern);
        d.routes.back().prefix = path();
    }
    const std::string request_path = path() + "tail";
    const Route* expected = nullptr;
    for (const Route& route : d.routes)
        if (request_path.starts_with(route.prefix) &&
            (expected == nullptr || route.prefix.size() > expected->prefix.size()))
            expected = &route;
    const RouteTable table(d);
    const Route* found = table.find("one.example", request_path);
    RC_ASSERT((found == nullptr) == (expected == nullptr));
    if (found != nullptr)
        RC_ASSERT(found->prefix == expected->prefix);
}

TEST(EventSplitter, HoldsBackIncompleteEvents) {
    EventSplitter splitter;
    splitter.feed("id: 1\ndata: a\n");
    EXPECT_EQ(splitter.next(), "");
    splitter.feed("\nid: 2\r\ndata: b\r\n\r\ndata");
    EXPECT_EQ(splitter.next(), "id: 1\ndata: a\n\n");
    const std::string second = splitter.next();
    EXPECT_EQ(second, "id: 2\r\ndata: b\r\n\r\n");
    EXPECT_EQ(id_of_event(second), "2");
    EXPECT_EQ(splitter.next(), "");
    EXPECT_EQ(splitter.remaining(), "data");
}

RC_GTEST_PROP(EventSplitter, EventsDoNotDependOnHowTheBytesArrive, ()) {
    const auto count = *rc::gen::inRange(1, 8);
    std::string stream;
    for (int i = 0; i < count; ++i)
        stream +=
            "id: " + std::to_string(i) + (i % 2 == 0 ? "\ndata: x\n\n" : "\r\ndata: y\r\n\r\n");
    EventSplitter splitter;
    std::vector<std::string> events;
    std::size_t at = 0;
    while (at < stream.size()) {
        const auto step = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
        splitter.feed(std::string_view(stream).substr(at, step));
        at += step;
        for (std::string e = splitter.next(); !e.empty(); e = splitter.next())
            events.push_back(e);
    }
    RC_ASSERT(events.size() == static_cast<std::size_t>(count));
    std::string joined;
    for (const std::string& e : events)
        joined += e;
    RC_ASSERT(joined == stream);
}

} // namespace
} // namespace liftweir

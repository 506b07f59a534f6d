// Retries booked for refused callers, alone and under simulated overload.

#include "request/appointments.h"

#include "process/groupname.h"
#include "unit/groupsimulator.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace liftweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time Start = Time{} + seconds(100);

RetryRequest request(double per_second, double draw = 0) {
    RetryRequest request;
    request.model = "model";
    request.time_left = seconds(6);
    request.per_second = per_second;
    request.draw = draw;
    return request;
}

TEST(RetryBook, BooksTheEarliestTenthWithCapacity) {
    RetryBook book;
    EXPECT_EQ(book.book(request(20), Start), (BookedRetry{milliseconds(1000), true}));
    EXPECT_EQ(book.book(request(20), Start), (BookedRetry{milliseconds(1000), true}));
    EXPECT_EQ(book.book(request(20, 0.5), Start), (BookedRetry{milliseconds(1150), true}));
}

// A shorter wait can not be recognised at the return.
TEST(RetryBook, NoRetryIsToldSoonerThanTheShortestDelay) {
    RetryBook book;
    for (int i = 0; i < 100; ++i)
        EXPECT_GE(book.book(request(20), Start + milliseconds(7 * i)).retry_after, seconds(1));
    RetryRequest short_limit = request(20);
    short_limit.time_left = milliseconds(1500);
    EXPECT_EQ(book.book(short_limit, Start), (BookedRetry{milliseconds(1000), false}));
}

// Callers ignore a Retry-After above a third of their time left.
TEST(RetryBook, WithoutCapacityTheLongestAcceptedWaitIsTold) {
    RetryBook book;
    int booked = 0;
    for (int i = 0; i < 100; ++i) {
        const BookedRetry retry = book.book(request(20, 0.99), Start);
        EXPECT_LE(retry.retry_after, seconds(2));
        booked += retry.booked ? 1 : 0;
    }
    EXPECT_GE(booked, 16);
    EXPECT_LE(booked, 20);
    EXPECT_EQ(book.book(request(20), Start), (BookedRetry{seconds(2), false}));
    EXPECT_EQ(RetryBook().book(request(0), Start), (BookedRetry{seconds(2), false}));
}

// At 16 entry hosts each one's capacity is a fraction of a retry per tenth.
TEST(RetryBook, FractionsOfARetryPerTenthAddUp) {
    RetryBook book;
    int booked = 0;
    for (int i = 0; i < 1000; ++i)
        booked += book.book(request(1.5), Start + milliseconds(10 * i)).booked ? 1 : 0;
    EXPECT_GE(booked, 14);
    EXPECT_LE(booked, 17);
}

TEST(RetryBook, NoRetryIsBookedBeforeTheNextGroupOpens) {
    RetryBook book;
    RetryRequest opening = request(0);
    opening.opens_in = milliseconds(1450);
    opening.per_second_once_open = 100;
    EXPECT_EQ(book.book(opening, Start), (BookedRetry{milliseconds(1500), true}));
    opening.opens_in = milliseconds(2500);
    EXPECT_FALSE(book.book(opening, Start).booked);
}

TEST(RetryBook, DueRetriesAreThoseOfTheTenthThatBegins) {
    RetryBook book;
    EXPECT_EQ(book.due("model", Start), 0);
    (void)book.book(request(20), Start);
    (void)book.book(request(20), Start);
    EXPECT_EQ(book.due("model", Start), 0);
    EXPECT_EQ(book.due("model", Start + milliseconds(950)), 1);
    EXPECT_EQ(book.due("model", Start + milliseconds(1000)), 2);
    EXPECT_EQ(book.due("other", Start + milliseconds(1000)), 0);
    EXPECT_EQ(book.due("model", Start + milliseconds(1100)), 0);
}

// Otherwise the ring would count a booking again 3 s after it was due.
TEST(RetryBook, PastBookingsAreForgotten) {
    RetryBook book;
    (void)book.book(request(10), Start);
    (void)book.book(request(10), Start + milliseconds(2000));
    EXPECT_EQ(book.due("model", Start + milliseconds(4000)), 0);
    EXPECT_EQ(book.due("model", Start + milliseconds(3000)), 1);
}

TEST(CallerReturn, IsInferredFromTheTimeLimit) {
    EXPECT_EQ(classify_return(Duration::zero(), seconds(6)), CallerReturn::New);
    EXPECT_EQ(classify_return(milliseconds(899), milliseconds(5101)), CallerReturn::New);
    EXPECT_EQ(classify_return(milliseconds(1000), milliseconds(5000)), CallerReturn::Booked);
    EXPECT_EQ(classify_return(milliseconds(2000), milliseconds(4000)), CallerReturn::Waited);
    EXPECT_EQ(classify_return(milliseconds(1000), Duration::zero()), CallerReturn::New);
}

// A refused call may have been held for a while before its refusal.
TEST(CallerReturn, BookedCallersAreToldApartFromOthers) {
    for (const Duration held : {milliseconds(0), milliseconds(200)}) {
        RetryRequest refused = request(10, 0.99);
        refused.waited = held;
        refused.time_left = seconds(6) - held;
        RetryBook book;
        for (int i = 0; i < 20; ++i) {
            const BookedRetry retry = book.book(refused, Start);
            const Duration waited = held + retry.retry_after;
            EXPECT_EQ(classify_return(waited, seconds(6) - waited),
                      retry.booked ? CallerReturn::Booked : CallerReturn::Waited);
        }
    }
}

// Callers return to any entry host, and a host may have been restarted since the booking.
TEST(CallerReturn, IsServedByAnEntryHostThatKnowsNoBooking) {
    const Service service{"llm", 4000, simulated_engine()};
    EndpointReport lead;
    lead.id = "i-1";
    lead.service = "llm";
    lead.address = "10.0.0.1:80";
    lead.sequence = 1;
    lead.membership = {.group = group_name("model", 1, GroupKind::Regular), .epoch = 1, .rank = 0};
    lead.membership.state = MemberState::Open;
    Directory host(1);
    host.registry().merge(lead, Start);
    for (int i = 0; i < 3; ++i)
        host.use("i-1").load.add_prefill({2000, false});
    Demand demand;
    demand.service = &service;
    demand.model = "model";
    demand.engine = {1000, true};
    demand.latency_goal = milliseconds(500);
    demand.waited = milliseconds(1200);
    demand.time_left = milliseconds(4800);
    EXPECT_FALSE(host.pick(demand, {}, Start).has_value()) << "as any late request";
    demand.caller = classify_return(demand.waited, demand.time_left);
    EXPECT_TRUE(host.pick(demand, {}, Start).has_value());
}

// Guards against a bound that serves small requests at their return and refuses large ones again.
TEST(CallerReturn, LargeRequestsAreServedAsOftenAsSmallOnes) {
    const Service service{"llm", 4000, simulated_engine()};
    EndpointReport lead;
    lead.id = "i-1";
    lead.service = "llm";
    lead.address = "10.0.0.1:80";
    lead.sequence = 1;
    lead.membership = {.group = group_name("model", 1, GroupKind::Regular), .epoch = 1, .rank = 0};
    lead.membership.state = MemberState::Open;
    Directory host(1);
    host.registry().merge(lead, Start);
    for (int i = 0; i < 20; ++i)
        host.note_sent("model", 1000, Start);
    Demand demand;
    demand.service = &service;
    demand.model = "model";
    demand.latency_goal = milliseconds(500);
    demand.waited = milliseconds(1200);
    demand.time_left = milliseconds(4800);
    demand.caller = CallerReturn::Booked;
    for (int waiting = 0; waiting < 12; ++waiting) {
        demand.engine = {100, false};
        const bool small = host.pick(demand, {}, Start).has_value();
        demand.engine = {8000, false};
        EXPECT_EQ(host.pick(demand, {}, Start).has_value(), small) << waiting;
        host.use("i-1").load.add_prefill({1000, false});
    }
}

// ---- simulated load

enum class Load { Burst, StrongBurst, Lasting, LostGroup };

struct Play {
    double per_group = 0; // requests per second; a group serves about 18
    int groups = 4;
    Duration length = seconds(15);
    Duration burst_end{};
    double factor = 1;
    std::vector<Duration> losses;
};

Play play_of(Load load) {
    switch (load) {
    case Load::Burst:
        return {.per_group = 13, .burst_end = seconds(8), .factor = 1.7, .losses = {}};
    case Load::StrongBurst:
        return {.per_group = 16, .burst_end = seconds(8), .factor = 1.7, .losses = {}};
    case Load::Lasting:
        return {.per_group = 18,
                .length = seconds(30),
                .burst_end = seconds(30),
                .factor = 1.3,
                .losses = {}};
    case Load::LostGroup:
        return {.per_group = 14, .groups = 2, .losses = {seconds(5)}};
    }
    return {};
}

// Plays the load at eight entry hosts. Callers have a limit of 6 s and return once, to any host.
// Without `booked`, all of them return after 1.0 s and are treated as late requests.
SimulatedResult simulate(Load load, bool booked) {
    const Play play = play_of(load);
    SimulatedResult sum;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        GroupSimulator player(simulated_engine(), play.groups, 8, seed);
        player.exchange_shares();
        if (booked)
            player.book_retries(seconds(6));
        player.add_burst(seconds(5), play.burst_end, play.factor);
        const double per_second = play.per_group * play.groups;
        for (const SimulatedResult& one : player.simulate(
                 {{per_second * 2 / 3, 1460, 19}, {per_second / 3, 2000, 5}}, milliseconds(500),
                 milliseconds(400), play.length, play.losses, milliseconds(2000))) {
            sum.asked += one.asked;
            sum.in_time += one.in_time;
            sum.late += one.late;
            sum.refused += one.refused;
            sum.returned += one.returned;
            sum.served_on_return += one.served_on_return;
        }
    }
    std::printf(
        "load %d booked %d: asked %d in time %.1f%% late %.1f%% refused %.1f%%, served %.0f%% "
        "of %d returns\n",
        static_cast<int>(load), booked, sum.asked, 100 * sum.in_time_part(),
        100.0 * sum.late / sum.asked, 100 * sum.refused_part(),
        100.0 * sum.served_on_return / std::max(1, sum.returned), sum.returned);
    return sum;
}

// Most of the refused callers return after the burst.
TEST(SimulatedReturns, MostCallersRefusedInABurstAreServedAtTheirReturn) {
    const SimulatedResult before = simulate(Load::Burst, false);
    const SimulatedResult after = simulate(Load::Burst, true);
    EXPECT_LT(after.refused_part(), 0.5 * before.refused_part());
    EXPECT_GT(after.served_on_return, 0.6 * after.returned);
    EXPECT_GT(after.in_time_part(), before.in_time_part() - 0.003);
}

TEST(SimulatedReturns, FewerCallersAreRefusedTwiceInAStrongBurst) {
    const SimulatedResult before = simulate(Load::StrongBurst, false);
    const SimulatedResult after = simulate(Load::StrongBurst, true);
    EXPECT_LT(after.refused_part(), 0.85 * before.refused_part());
    EXPECT_GT(after.in_time_part(), before.in_time_part() - 0.003);
}

// A new caller that is served in time is worth several late answers.
TEST(SimulatedReturns, RetriesDisplaceNoNewCallersUnderLastingOverload) {
    const SimulatedResult before = simulate(Load::Lasting, false);
    const SimulatedResult after = simulate(Load::Lasting, true);
    EXPECT_GT(after.in_time_part(), before.in_time_part() - 0.005);
    EXPECT_LT(after.refused_part(), before.refused_part() + 0.002);
}

TEST(SimulatedReturns, CallersRefusedWhileAGroupIsLostAreServedAfterItsRepair) {
    const SimulatedResult before = simulate(Load::LostGroup, false);
    const SimulatedResult after = simulate(Load::LostGroup, true);
    EXPECT_LT(after.refused_part(), 0.6 * before.refused_part());
    EXPECT_GT(after.in_time_part(), before.in_time_part() - 0.01);
}

} // namespace
} // namespace liftweir

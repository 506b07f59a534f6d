// Links from an entry host to control hosts that stop answering without closing the connection.

#include "connection/link.h"
#include "process/gateway.h"
#include "process/metrics.h"
#include "unit/loopback.h"

#include <gtest/gtest.h>

#include <vector>

namespace liftweir {
namespace {

using std::chrono::milliseconds;

// A control host that answers lease renewals, except on `unanswered_link`.
struct EntryHostsLink : LoopbackTest {
    EntryHostsLink() {
        listener.start([this](const Link::Ptr& link) { links.push_back(link); },
                       [this](const Link::Ptr& link, WireMessage&& message) {
                           if (const auto* renew = std::get_if<LeaseRenewal>(&message))
                               on_renew(link, *renew);
                       },
                       [this](const Link::Ptr&) { ++ended; });
        gateway.start();
    }

    // The metrics outlive the gateway, so gauges that read from it must be replaced.
    ~EntryHostsLink() override {
        for (const char* name :
             {"liftweir_calls_in_flight", "liftweir_requests_held", "liftweir_document_version",
              "liftweir_connections_opened", "liftweir_lease_left_seconds"})
            Metrics::instance().gauge(name, [] { return 0.0; });
    }

    void on_renew(const Link::Ptr& link, const LeaseRenewal& renew) {
        ++renewals;
        if (link == unanswered_link)
            return;
        LeaseAck lease_ack;
        lease_ack.node = 1;
        lease_ack.sequence = renew.sequence;
        link->send(lease_ack);
        ++answers;
    }

    const Identity self{ProcessRole::Control, "c", 1};
    LinkListener listener{io, "127.0.0.1:" + std::to_string(port), self, keys};
    NoCallers callers;
    Gateway gateway{io, config_for(port, "e"), callers,
                    [](const std::string&) -> Expected<Deployment> { return Deployment{}; }};
    std::vector<Link::Ptr> links;
    Link::Ptr unanswered_link;
    int renewals = 0;
    int answers = 0;
    int ended = 0;
};

TEST_F(EntryHostsLink, IsReconnectedWhenNoRenewalIsAnswered) {
    ASSERT_TRUE(run_until([&] { return answers >= 2; }, milliseconds(2500)));
    unanswered_link = links.front();
    const int before = answers;
    // A renewal is sent within 1 s, and the link is closed after 2.5 s more without a message.
    EXPECT_TRUE(run_until([&] { return answers > before; }, milliseconds(4000)));
    EXPECT_EQ(links.size(), 2u);
}

// Answers may be queued behind a large document on a slow link, so a link that delivers bytes is
// kept.
TEST_F(EntryHostsLink, StaysUpWhileItDeliversMessages) {
    ASSERT_TRUE(run_until([&] { return answers >= 2; }, milliseconds(2500)));
    unanswered_link = links.front();
    const Time end = BootClock::now() + milliseconds(4500);
    while (BootClock::now() < end) {
        run_until([] { return false; }, milliseconds(300));
        unanswered_link->send(GroupsDissolved{});
    }
    EXPECT_EQ(links.size(), 1u);
    EXPECT_EQ(ended, 0);
}

TEST_F(EntryHostsLink, StaysUpWhileRenewalsAreAnswered) {
    ASSERT_TRUE(run_until([&] { return answers >= 6; }, milliseconds(7000)));
    EXPECT_EQ(links.size(), 1u);
}

// Two control hosts that have the document. The one that is asked for it first answers late. The
// other one announces at once that it has the document too.
struct TwoControlHosts : LoopbackTest {
    struct Host {
        Host(TwoControlHosts& all, const std::string& ip, NodeId number)
            : node(number),
              listener(all.io, ip + ":" + std::to_string(all.port), all.self, all.keys) {
            listener.start([](const Link::Ptr&) {},
                           [this, &all](const Link::Ptr& link, WireMessage&& message) {
                               if (const auto* renew = std::get_if<LeaseRenewal>(&message))
                                   all.on_renew(*this, link, *renew);
                           },
                           [](const Link::Ptr&) {});
        }
        NodeId node;
        LinkListener listener;
        int document_requests = 0;
        int renewals = 0;
        int restored_requests = 0;
    };

    static SiteConfig config_for(std::uint16_t port) {
        SiteConfig config = LoopbackTest::config_for(port, "e");
        config.ip = "127.0.0.3";
        config.seeds = {"127.0.0.1:1", "127.0.0.2:1"};
        return config;
    }
    void on_renew(Host& host, const Link::Ptr& link, const LeaseRenewal& renew) {
        host.document_requests += renew.want_delta ? 1 : 0;
        ++host.renewals;
        if (renew.want_delta && source == nullptr)
            source = &host;
        if (&host == source && source_is_silent)
            return;
        LeaseAck lease_ack;
        lease_ack.node = host.node;
        lease_ack.sequence = renew.sequence;
        lease_ack.table = 7;
        lease_ack.logged = logged;
        link->send(lease_ack);
        EndpointReport endpoint;
        endpoint.id = "i";
        endpoint.service = "app";
        endpoint.address = "127.0.0.9:80";
        if (host.renewals == 1)
            link->send(EndpointChanges{{endpoint}, {}, {}});
        host.restored_requests += renew.wants_restored ? 1 : 0;
        if (renew.wants_restored && &host == restored_at)
            link->send(EndpointsRestored{{endpoint}});
    }
    const Identity self{ProcessRole::Control, "c", 1};
    Host* source = nullptr;
    bool source_is_silent = true;
    Host* restored_at = nullptr; // the control host that still has the endpoints it stored
    Version logged = 0;          // newest settings that the control hosts announce
    Host first{*this, "127.0.0.1", 1};
    Host second{*this, "127.0.0.2", 2};
    NoCallers callers;
    Gateway gateway{io, config_for(port), callers,
                    [](const std::string&) -> Expected<Deployment> { return Deployment{}; }};
};

TEST_F(TwoControlHosts, KeepsASourceThatHasNotAnsweredYet) {
    gateway.start();
    run_for(milliseconds(700));
    ASSERT_NE(source, nullptr);
    source_is_silent = false;
    run_for(milliseconds(500));
    Host& other = source == &first ? second : first;
    EXPECT_EQ(other.document_requests, 0);
    EXPECT_GT(source->document_requests, 0);
}

// A source that stops answering is replaced.
TEST_F(TwoControlHosts, ReplacesASourceThatNeverAnswers) {
    gateway.start();
    run_for(milliseconds(5000));
    Host& other = source == &first ? second : first;
    EXPECT_GT(other.document_requests, 0);
}

// A host without settings asks one control host for them again and again, and the others at the
// usual interval only.
TEST_F(TwoControlHosts, OnlyTheSourceIsAskedOftenWhileSettingsAreMissing) {
    logged = 7;
    source_is_silent = false;
    restored_at = &first;
    gateway.start();
    run_for(milliseconds(2500));
    ASSERT_NE(source, nullptr);
    Host& other = source == &first ? second : first;
    // One for the new link, one for its first answer, and one a second.
    EXPECT_LE(other.renewals, 5);
    EXPECT_GE(source->renewals, 8);
}

// A change arrives before the endpoints that were stored, and only one control host has these.
TEST_F(TwoControlHosts, StoredEndpointsAreAskedForThoughOneEndpointIsKnown) {
    source_is_silent = false;
    restored_at = &second;
    gateway.start();
    run_for(milliseconds(2500));
    EXPECT_GE(second.restored_requests, 1);
    const int first_asked = first.restored_requests;
    const int second_asked = second.restored_requests;
    run_for(milliseconds(1500));
    EXPECT_EQ(first.restored_requests, first_asked);
    EXPECT_EQ(second.restored_requests, second_asked);
}

} // namespace
} // namespace liftweir

// Messages between liftweir's processes in which a number is at or beyond the limits of its type.
// A control host and an entry host take them over real links, and run on.

#include "connection/codec.h"
#include "process/coordinator.h"
#include "process/gateway.h"
#include "unit/loopback.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <limits>
#include <vector>

namespace liftweir {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t MaxUint64 = std::numeric_limits<std::uint64_t>::max();

EndpointReport endpoint(EndpointPhase phase = EndpointPhase::Serving) {
    EndpointReport report;
    report.id = EndpointId("i-1", 17);
    report.service = "llm";
    report.address = "127.0.0.9:80";
    report.zone = "z";
    report.domain = "d";
    report.phase = phase;
    report.slots = 4;
    report.membership = {"m.7", 7, 1, MemberState::Ready};
    report.sequence = 3;
    return report;
}

// Not among them: lists of control hosts, whose numbers are addresses to connect to, and the
// messages of the replicated log.
std::vector<WireMessage> samples() {
    LeaseRenewal renewal;
    renewal.entry = "e";
    renewal.retry_share = {0.5, 1};
    LeaseAck ack;
    ack.retry_share = {0.5, 1};
    const Fingerprint content{1, 2};
    return {renewal,
            ack,
            EndpointChanges{{endpoint()}, {5}, {}},
            EndpointChanges{{endpoint(EndpointPhase::Gone)}, {5}, {EndpointId("i-2", 3)}},
            EndpointsAlive{{EndpointId("i-1", 17)}, {1}},
            DocumentPush{{1, 1, "{}"}, {}},
            GroupSuspected{7, EndpointId("i-1", 17), 100},
            GroupsDissolved{{7}},
            EndpointsRestored{{endpoint()}},
            GroupLoadReports{"e", 200, {{7, {}}}},
            RegistryDigests{},
            RangesRequested{{1}, true, {EndpointId("i-1", 17)}},
            RequestsAborted{EndpointId("i-1", 17), {{content, 5}}, {{content, 5, true}}},
            SuspectRequests{{{content, 3, {EndpointId("i-1", 17)}, 1000, true}}, {}, {}},
            LimitReports{{{EndpointId("i-1", 17), 10, 5}}},
            LimitShares{1, {{EndpointId("i-1", 17), 0.5}}},
            EndpointsLeaving{{EndpointId("i-1", 17)}},
            DemandReports{"e", 500, {{"llm", "m", 1, "", 5, 500, 80, 1, 1}}},
            AdmissionPlan{{{"llm", "m", 1, 0.5, {}, 100, 1.5}}},
            LeavesToRecord{{endpoint(EndpointPhase::Draining)}},
            LeavesRecorded{{leave_of(endpoint(EndpointPhase::Draining))}}};
}

void collect_numbers(msgpack::object& value, std::vector<msgpack::object*>& numbers) {
    switch (value.type) {
    case msgpack::type::ARRAY:
        for (std::uint32_t n = 0; n < value.via.array.size; ++n)
            collect_numbers(value.via.array.ptr[n], numbers);
        break;
    case msgpack::type::POSITIVE_INTEGER:
    case msgpack::type::NEGATIVE_INTEGER:
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
        numbers.push_back(&value);
        break;
    default:
        break;
    }
}

std::vector<msgpack::object> extremes() {
    std::vector<msgpack::object> values;
    for (const std::uint64_t value :
         {std::uint64_t{0}, std::uint64_t{255}, std::uint64_t{0x7fffffff},
          std::uint64_t{0xffffffff}, MaxUint64 / 2, MaxUint64})
        values.emplace_back(value);
    for (const std::int64_t value : {std::int64_t{-1}, std::numeric_limits<std::int64_t>::min()})
        values.emplace_back(value);
    using Limits = std::numeric_limits<double>;
    for (const double value :
         {0.5, -1e300, 1e300, Limits::quiet_NaN(), Limits::infinity(), -Limits::infinity()})
        values.emplace_back(value);
    return values;
}

// Every message that differs from `message` in one number and can still be decoded.
std::vector<WireMessage> variants(const WireMessage& message) {
    std::vector<WireMessage> out;
    const std::string bytes = encode(message);
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    std::vector<msgpack::object*> numbers;
    // The first item of the pair is the kind of the message.
    msgpack::object& fields = handle.get().via.array.ptr[1];
    collect_numbers(fields, numbers);
    for (msgpack::object* number : numbers) {
        const msgpack::object before = *number;
        for (const msgpack::object& value : extremes()) {
            *number = value;
            msgpack::sbuffer buffer;
            msgpack::pack(buffer, handle.get());
            if (auto decoded = decode<WireMessage>({buffer.data(), buffer.size()}))
                out.push_back(std::move(*decoded));
        }
        *number = before;
    }
    return out;
}

Expected<Deployment> decode_document(const std::string&) {
    Deployment deployment;
    Service service;
    service.name = "llm";
    service.engine.emplace();
    service.engine->models.push_back({"m", 2, 1, 1, milliseconds(100), milliseconds(10)});
    deployment.services.push_back(service);
    return deployment;
}

struct PeerNumbers : LoopbackTest {};

TEST_F(PeerNumbers, EndNoControlHost) {
    SiteConfig config = config_for(port, "c");
    config.first_start = true;
    config.tolerated_hosts = 0;
    config.data = testing::TempDir() + "/peer-numbers";
    std::filesystem::remove_all(config.data);
    NoOrders orders;
    auto coordinator = Coordinator::open(io, config, orders, decode_document);
    ASSERT_TRUE(coordinator);
    (*coordinator)->start();
    ASSERT_TRUE(run_until([&] { return (*coordinator)->leads(); }, milliseconds(5000)));
    bool stored = false;
    (*coordinator)->replace_document(1, "{}", [&](const Expected<void>& done) {
        stored = done.has_value();
    });
    ASSERT_TRUE(run_until([&] { return stored; }, milliseconds(5000)));
    std::size_t sent = 0;
    for (const ProcessRole role : {ProcessRole::Control, ProcessRole::Entry}) {
        const Identity self{role, "peer", 1};
        Dialer dialer(io, "127.0.0.1:" + std::to_string(port), self, keys);
        dialer.start([](const Link::Ptr&) {}, [](const Link::Ptr&, WireMessage&&) {},
                     [](const Link::Ptr&) {});
        ASSERT_TRUE(run_until([&] { return dialer.up(); }, milliseconds(3000)));
        for (const WireMessage& sample : samples())
            for (const WireMessage& message : variants(sample)) {
                sent += dialer.send(message) ? 1 : 0;
                io.poll();
            }
        run_for(milliseconds(1200));
        EXPECT_TRUE(dialer.up());
    }
    EXPECT_GT(sent, 1000u);
    bool kept = false;
    (*coordinator)->replace_document(2, "{}", [&](const Expected<void>& done) {
        kept = done.has_value();
    });
    EXPECT_TRUE(run_until([&] { return kept; }, milliseconds(3000)));
}

TEST_F(PeerNumbers, EndNoEntryHost) {
    const Identity self{ProcessRole::Control, "c", 1};
    LinkListener listener(io, "127.0.0.1:" + std::to_string(port), self, keys);
    Link::Ptr link;
    int renewals = 0;
    listener.start([&](const Link::Ptr& up) { link = up; },
                   [&](const Link::Ptr&, WireMessage&& message) {
                       renewals += std::holds_alternative<LeaseRenewal>(message) ? 1 : 0;
                   },
                   [](const Link::Ptr&) {});
    NoCallers callers;
    Gateway gateway(io, config_for(port, "e"), callers, decode_document);
    gateway.start();
    ASSERT_TRUE(run_until([&] { return link != nullptr && renewals > 0; }, milliseconds(3000)));
    std::size_t sent = 0;
    for (const WireMessage& sample : samples())
        for (const WireMessage& message : variants(sample)) {
            link->send(message);
            ++sent;
            io.poll();
        }
    EXPECT_GT(sent, 1000u);
    run_for(milliseconds(1000));
    const int before = renewals;
    EXPECT_TRUE(run_until([&] { return renewals > before; }, milliseconds(4000)));
}

} // namespace
} // namespace liftweir

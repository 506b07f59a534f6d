// Run by liftweir-agent: start and shutdown, orders of the control hosts, and pings between the
// members of a group.

#include "process/agent.h"

#include "connection/codec.h"
#include "process/logging.h"
#include "process/metrics.h"
#include "process/observe.h"
#include "process/timeline.h"
#include "request/outcome.h"

#include <algorithm>

namespace liftweir {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(25);
// The event loop never blocks for this long by itself: a longer gap between two ticks means that
// the process was paused.
constexpr Duration ProcessPauseThreshold = std::chrono::milliseconds(400);
constexpr Duration StatusInterval = std::chrono::milliseconds(500);
// The agent turns to the next control host when the present one has not answered for this long.
constexpr Duration ControlTimeout = std::chrono::milliseconds(1200);
constexpr Duration EndpointRetryPause = std::chrono::milliseconds(500);
// Failed resets before the agent logs a warning. An engine that starts together with its agent is
// not reachable for the first ones.
constexpr int FailedResetsUntilWarning = 5;
// Entry hosts take this host out of their routing tables within this time after its shutdown
// notice. Attempts that still arrive later are rejected.
constexpr Duration ShutdownNoticeTime = std::chrono::milliseconds(1500);
constexpr Duration DrainDeadline = std::chrono::seconds(120);
constexpr std::size_t DatagramBytes = 512;

std::unique_ptr<Endpoint> make_endpoint(asio::io_context& io, const ProcessConfig& config) {
    if (config.engine_url.empty())
        return make_service(io, config.service_url);
    return make_engine(io, config.engine_url, config.engine_checks_fence);
}

HostSpec host_spec(const ProcessConfig& c) {
    HostSpec spec;
    spec.name = c.name;
    spec.site = c.site;
    spec.zone = c.zone;
    spec.domain = c.domain;
    spec.accelerators = c.accelerators;
    spec.role = c.service.empty() ? HostRole::Engine : HostRole::Service;
    spec.service = c.service;
    spec.address = c.advertise.empty() ? c.listen : c.advertise;
    spec.ping_address = c.advertise_ping.empty() ? c.ping : c.advertise_ping;
    spec.http = c.http;
    return spec;
}

} // namespace

Agent::Agent(asio::io_context& io, const ProcessConfig& config)
    : io_(io),
      config_(config),
      identity_{ProcessRole::Agent, config.name, new_incarnation()},
      keys_(config.cluster_keys),
      endpoint_(make_endpoint(io, config)),
      ping_socket_(io),
      ping_buffer_(DatagramBytes, '\0'),
      ticker_(io, TickInterval, [this] { tick(); }),
      queue_(DefaultSlots, DefaultQueueLength) {
    Timeline::instance().name(config.name, identity_.incarnation);
}

Agent::~Agent() = default;

void Agent::start() {
    const auto ping = parse_address(config_.ping).value();
    ping_socket_.open(ping.address().is_v4() ? asio::ip::udp::v4() : asio::ip::udp::v6());
    ping_socket_.bind({ping.address(), ping.port()});
    listener_ = std::make_unique<LinkListener>(io_, config_.listen, identity_, keys_);
    listener_->start(
        [this](const Link::Ptr& link) {
            entries_.insert(link);
            link->send(gate_state());
        },
        [this](const Link::Ptr& link, WireMessage&& m) { on_entry_message(link, std::move(m)); },
        [this](const Link::Ptr& link) { on_entry_down(link); });
    http_ = serve_http(
        io_, config_.http, HttpServerLimits{.body_bytes = 4096, .connections = 64},
        [this](const std::shared_ptr<HttpExchange>& exchange) {
            if (!serve_observability(*exchange, keys_, [this] { return admits(); }))
                respond_json(*exchange, 404,
                             error_body({FailureKind::NotFound, "no such page"}, Outcome::NotRun));
        });
    for (const auto& [node, address] : config_.control) {
        const std::size_t index = control_.size();
        control_nodes_.push_back(node);
        control_.push_back(std::make_unique<Dialer>(io_, address, identity_, keys_));
        control_.back()->start(
            [this, index](const Link::Ptr&) {
                if (index == current_control_)
                    status_due_ = {};
            },
            [this, index](const Link::Ptr&, WireMessage&& m) { on_control(index, std::move(m)); },
            [](const Link::Ptr&) {});
    }
    Metrics::instance().gauge("liftweir_in_flight",
                              [this] { return static_cast<double>(in_flight()); });
    record({.kind = EventKind::ProcessStarted, .host = config_.name, .detail = "agent"});
    last_tick_ = last_order_at_ = BootClock::now();
    receive_datagram();
    ticker_.start();
    reset_endpoint();
}

// The host reports to control only once its engine is empty. Until then only this log shows why the
// host is missing.
void Agent::reset_endpoint() {
    endpoint_->reset([this](bool ok) {
        endpoint_reset_ = ok;
        if (ok)
            return;
        if (++failed_resets_ == FailedResetsUntilWarning)
            log(LogLevel::Warning, "the engine can not be emptied; the host is not registered",
                {{"engine", config_.engine_url}});
        const auto timer = std::make_shared<asio::steady_timer>(io_, EndpointRetryPause);
        timer->async_wait([this, timer](asio::error_code error) {
            if (!error)
                reset_endpoint();
        });
    });
}

void Agent::tick() {
    const Time now = BootClock::now();
    check_pause(now);
    if (gate_)
        for (const DuePing& due : gate_->due_pings(now))
            send_datagram(due.address, due.ping);
    probe_endpoint_if_due(now);
    check_gate(now);
    start_queued();
    if (now >= status_due_)
        send_status();
    maybe_stop();
}

// After a pause all time limits may have passed. The gate notices that by itself, since the boot
// clock runs on during the pause. Here the pause is logged and the next report is sent at once.
void Agent::check_pause(Time now) {
    const Duration gap = now - std::exchange(last_tick_, now);
    if (gap < ProcessPauseThreshold)
        return;
    log(LogLevel::Warning, "the process was paused",
        {{"milliseconds", std::to_string(to_millis(gap))}});
    status_due_ = {};
}

void Agent::check_gate(Time now) {
    const bool open = gate_ && gate_->open(now);
    if (open == was_open_)
        return;
    was_open_ = open;
    if (open) {
        record({.kind = EventKind::GateOpened,
                .host = config_.name,
                .group = gate_->assignment().epoch});
    } else {
        std::string missing;
        if (gate_)
            for (const HostName& name : gate_->missing(now))
                missing += (missing.empty() ? "" : ",") + name;
        record({.kind = EventKind::GateClosed,
                .host = config_.name,
                .group = gate_ ? gate_->assignment().epoch : fence_,
                .cause = missing.empty() ? "released" : "no ping reply from " + missing});
        fail_all(FailureKind::EndpointFailed);
    }
    send_gate_state();
    status_due_ = {};
}

void Agent::leave() {
    if (std::exchange(leaving_, true)) {
        record({.kind = EventKind::ProcessStopped,
                .host = config_.name,
                .detail = std::to_string(in_flight()) + " in flight were aborted",
                .cause = "second signal"});
        io_.stop();
        return;
    }
    record({.kind = EventKind::ProcessDraining, .host = config_.name});
    leaving_since_ = BootClock::now();
    send_gate_state();
    status_due_ = {};
}

void Agent::maybe_stop() {
    if (!leaving_)
        return;
    const Time now = BootClock::now();
    const bool idle = in_flight() == 0 && (!gate_ || phase_ == AgentPhase::Idle);
    if (!idle)
        drained_since_ = now;
    const bool late = now - leaving_since_ > DrainDeadline;
    const bool settled = idle && now - leaving_since_ > ShutdownNoticeTime &&
                         now - drained_since_ > ShutdownNoticeTime / 3;
    if (!late && !settled)
        return;
    record({.kind = EventKind::ProcessStopped,
            .host = config_.name,
            .detail = late ? std::to_string(in_flight()) + " in flight were aborted" : "drained"});
    io_.stop();
}

// ---- control hosts

AgentStatus Agent::status() const {
    AgentStatus s;
    if (!registered_)
        s.spec = host_spec(config_);
    s.host = config_.name;
    s.incarnation = identity_.incarnation;
    s.held = gate_ ? gate_->assignment().epoch : NoEpoch;
    s.phase = phase_;
    s.gate_open = was_open_;
    s.in_flight = static_cast<std::uint32_t>(in_flight());
    s.leaving = leaving_;
    s.fence = fence_;
    s.endpoint_gone = endpoint_gone_;
    if (gate_ && gate_->leads() && !was_open_)
        s.missing = gate_->missing(BootClock::now());
    return s;
}

void Agent::send_status() {
    const Time now = BootClock::now();
    status_due_ = now + StatusInterval;
    if (!endpoint_reset_ || control_.empty())
        return;
    if (now - last_order_at_ > ControlTimeout) {
        current_control_ = (current_control_ + 1) % control_.size();
        last_order_at_ = now;
    }
    control_[current_control_]->send(status());
}

void Agent::on_control(std::size_t index, WireMessage&& message) {
    if (const auto* not_leader = std::get_if<NotLeaderReply>(&message)) {
        const auto leader =
            std::find(control_nodes_.begin(), control_nodes_.end(), not_leader->leader);
        if (index != current_control_ || leader == control_nodes_.end())
            return;
        const auto next = static_cast<std::size_t>(leader - control_nodes_.begin());
        if (next != current_control_)
            status_due_ = {};
        current_control_ = next;
    } else if (const auto* order = std::get_if<AgentOrder>(&message)) {
        // A lower term comes from a deposed leader that has not noticed yet.
        if (order->term < term_)
            return;
        term_ = order->term;
        last_order_at_ = BootClock::now();
        current_control_ = index;
        on_order(*order);
    }
}

void Agent::on_order(const AgentOrder& order) {
    registered_ = order.registered;
    if (!order.registered) {
        status_due_ = std::min(status_due_, BootClock::now() + StatusInterval / 5);
        return;
    }
    if (order.has_assignment) {
        accept_assignment(order.assignment);
    } else if (order.fence != NoEpoch && (order.fence > fence_ || gate_)) {
        drop_group(order.fence, "released by control");
    }
}

// A released epoch, or a lower one, is never held again: an order for it was delayed.
void Agent::accept_assignment(const Assignment& assignment) {
    if (assignment.epoch <= fence_ || phase_ == AgentPhase::Releasing || endpoint_gone_)
        return;
    // An assignment without this incarnation is meant for an earlier process of this host.
    const auto own = [this](const Member& member) {
        return member.host == config_.name && member.incarnation == identity_.incarnation;
    };
    if (std::none_of(assignment.members.begin(), assignment.members.end(), own))
        return;
    if (gate_ && gate_->assignment().epoch > assignment.epoch)
        return;
    if (gate_ && gate_->assignment().epoch == assignment.epoch) {
        if (assignment.draining && !gate_->assignment().draining) {
            gate_->set_draining(true);
            phase_ = AgentPhase::Draining;
            send_gate_state();
            status_due_ = {};
        }
        return;
    }
    if (gate_)
        drop_group(gate_->assignment().epoch, "another group was assigned");
    gate_ =
        std::make_unique<Gate>(assignment, config_.name, identity_.incarnation, BootClock::now());
    queue_.resize(assignment.slots, assignment.queue);
    phase_ = AgentPhase::Loading;
    record({.kind = EventKind::LoadStarted,
            .host = config_.name,
            .group = assignment.epoch,
            .detail = assignment.model.model + " version " + assignment.model.version});
    load(assignment.epoch);
}

void Agent::load(Epoch epoch) {
    const auto current = [this, epoch] { return gate_ && gate_->assignment().epoch == epoch; };
    endpoint_->load(gate_->assignment(), gate_->leads(), [this, epoch, current](bool ok) {
        if (!current())
            return;
        if (ok) {
            gate_->set_engine_ready(true);
            phase_ = gate_->assignment().draining ? AgentPhase::Draining : AgentPhase::Ready;
            record({.kind = EventKind::LoadFinished, .host = config_.name, .group = epoch});
            status_due_ = {};
            return;
        }
        record({.kind = EventKind::LoadFailed, .host = config_.name, .group = epoch});
        const auto timer = std::make_shared<asio::steady_timer>(io_, EndpointRetryPause);
        timer->async_wait([this, timer, epoch, current](asio::error_code error) {
            if (!error && current())
                load(epoch);
        });
    });
}

// From here on the agent answers no ping of this group and forwards no attempt for it.
void Agent::drop_group(Epoch fence, const std::string& cause) {
    const Epoch held = gate_ ? gate_->assignment().epoch : NoEpoch;
    fence_ = std::max(fence_, fence);
    if (held == NoEpoch) {
        status_due_ = {};
        return;
    }
    gate_.reset();
    phase_ = AgentPhase::Releasing;
    check_gate(BootClock::now());
    fail_all(FailureKind::EndpointFailed);
    record({.kind = EventKind::HostReleased, .host = config_.name, .group = held, .cause = cause});
    endpoint_->release(held, [this](bool) {
        if (phase_ == AgentPhase::Releasing)
            phase_ = AgentPhase::Idle;
        status_due_ = {};
    });
    status_due_ = {};
}

// ---- pings between the members of a group

void Agent::send_datagram(const std::string& address, const Datagram& datagram) {
    const auto to = parse_address(address);
    if (!to)
        return;
    const std::string sealed = keys_.append_mac(encode(datagram));
    asio::error_code ignored;
    ping_socket_.send_to(asio::buffer(sealed), {to->address(), to->port()}, 0, ignored);
    link_counters().bytes_out.fetch_add(sealed.size(), std::memory_order_relaxed);
}

void Agent::receive_datagram() {
    ping_socket_.async_receive_from(
        asio::buffer(ping_buffer_), ping_sender_,
        [this](asio::error_code error, std::size_t bytes) {
            if (error == asio::error::operation_aborted)
                return;
            link_counters().bytes_in.fetch_add(bytes, std::memory_order_relaxed);
            const auto body = keys_.strip_mac(std::string_view(ping_buffer_).substr(0, bytes));
            const auto datagram = decode<Datagram>(body);
            if (!error && datagram && gate_) {
                if (const auto* ping = std::get_if<Ping>(&*datagram)) {
                    if (const auto echo = gate_->answer(*ping))
                        send_datagram(ping_sender_.address().to_string() + ":" +
                                          std::to_string(ping_sender_.port()),
                                      *echo);
                } else {
                    gate_->on_ping_reply(std::get<PingReply>(*datagram), BootClock::now());
                }
            }
            receive_datagram();
        });
}

} // namespace liftweir

// Run by liftweir-site-control: endpoints that leave are in the replicated log before their leave
// is acknowledged. Reports of endpoints are soft state otherwise, so after a loss of all processes
// a late report, or the endpoint cache, would bring an endpoint back that has left.

#include "process/coordinator.h"
#include "process/logging.h"
#include "process/metrics.h"
#include "process/node.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace liftweir {

namespace {

// An endpoint tries another control host after a second without an answer.
constexpr Duration MaxLeaveWait = std::chrono::milliseconds(850);
// The leader may have changed, or the message was lost with its link.
constexpr Duration LeaveRequestInterval = std::chrono::milliseconds(200);
// As long as a registry remembers an endpoint that is gone.
constexpr Duration DepartureKept = std::chrono::seconds(60);

} // namespace

void Coordinator::record_leave(const EndpointReport& report, Done done) {
    const Time now = BootClock::now();
    waiting_leaves_.push_back({report, std::move(done), nullptr, now, now});
    answer_waiting_leaves();
}

// The leader proposes them; another host asks the leader to.
void Coordinator::request_leave_records(Time now) {
    LeavesToRecord due;
    for (WaitingLeave& leave : waiting_leaves_) {
        if (now < leave.request_due)
            continue;
        leave.request_due = now + LeaveRequestInterval;
        due.reports.push_back(leave.report);
    }
    if (due.reports.empty())
        return;
    if (leads())
        for (const EndpointReport& report : due.reports)
            propose_leave(report);
    else if (Dialer* leader = leader_that_records_leaves())
        leader->send(due);
}

// Null where none is known. A host of an earlier release would close the link.
Dialer* Coordinator::leader_that_records_leaves() {
    if (!replica_)
        return nullptr;
    const auto leader = peers_.find(address_of(replica_->raft().leader(), config_.link_port));
    const bool able = leader != peers_.end() && leader->second.records_leaves;
    return able ? leader->second.dialer.get() : nullptr;
}

void Coordinator::propose_leave(const EndpointReport& report) {
    if (proposed_leaves_.cover(report) || replica_->state().departures().cover(report))
        return;
    proposed_leaves_.all[report.id] = {0, report};
    replica_->propose(RecordDepartures{{report}, {}},
                      [this, id = report.id](const Expected<ApplyResult>& committed) {
                          proposed_leaves_.all.erase(id);
                          if (committed && !committed->ok)
                              log(LogLevel::Error, "leave not recorded",
                                  {{"endpoint", text_of(id)}, {"why", committed->detail}});
                      });
    pump_soon();
}

// The other host asks again until it is answered; each leave waits here once for each link.
void Coordinator::on_leaves_to_record(const Link::Ptr& link, const LeavesToRecord& received,
                                      Time now) {
    if (link->peer().role != ProcessRole::Control || !leads())
        return;
    for (const EndpointReport& report : received.reports) {
        if (fault_of(report) != ReportFault::None || report.phase == EndpointPhase::Serving)
            continue;
        const bool waits = std::any_of(
            waiting_leaves_.begin(), waiting_leaves_.end(), [&](const WaitingLeave& leave) {
                return leave.peer == link && leave_of(leave.report) == leave_of(report);
            });
        if (!waits)
            waiting_leaves_.push_back({report, {}, link, now, now});
    }
    answer_waiting_leaves();
}

void Coordinator::on_leaves_recorded(const LeavesRecorded& received) {
    for (const LeaveId& recorded : received.leaves)
        for (WaitingLeave& leave : waiting_leaves_)
            leave.recorded = leave.recorded || leave_of(leave.report) == recorded;
    answer_waiting_leaves();
}

// Only the leader knows which disks hold an entry.
bool Coordinator::is_recorded(const WaitingLeave& leave) const {
    if (leave.recorded || !leads())
        return leave.recorded;
    const Departures& departures = replica_->state().departures();
    return departures.cover(leave.report) && is_durable(departures.all.at(leave.report.id).index);
}

// Answers those that are recorded or have waited for too long, and asks for the others to be
// recorded.
void Coordinator::answer_waiting_leaves() {
    if (waiting_leaves_.empty())
        return;
    const Time now = BootClock::now();
    std::vector<WaitingLeave> unanswered;
    for (WaitingLeave& leave : std::exchange(waiting_leaves_, {})) {
        const Duration took = now - leave.started;
        const bool recorded = is_recorded(leave);
        if (recorded || leaving_ || !replica_ || took > MaxLeaveWait)
            answer(leave, recorded, took);
        else
            unanswered.push_back(std::move(leave));
    }
    std::move(unanswered.begin(), unanswered.end(), std::back_inserter(waiting_leaves_));
    request_leave_records(now);
}

void Coordinator::answer(const WaitingLeave& leave, bool recorded, Duration took) {
    const EndpointReport& report = leave.report;
    if (leave.peer) {
        if (recorded)
            leave.peer->send(LeavesRecorded{{leave_of(report)}});
        return;
    }
    log(recorded ? LogLevel::Info : LogLevel::Warning,
        recorded ? "leave acknowledged" : "leave not acknowledged",
        {{"endpoint", text_of(report.id)},
         {"phase", report.phase == EndpointPhase::Gone ? "gone" : "draining"},
         {"took_ms", std::to_string(to_millis(took))}});
    if (recorded) {
        Metrics::instance().histogram("liftweir_leave_seconds").add(to_seconds(took));
        if (report.phase == EndpointPhase::Draining)
            confirmed_drains_.insert(report.id);
    } else {
        Metrics::instance().counter("liftweir_leaves_unrecorded").add();
    }
    leave.done(recorded ? Expected<void>() : fail(FailureKind::NoQuorum, "not recorded"));
}

// Takes over the leaves of the log that this host does not know yet: after its start, or where the
// message of the host that received the report was lost.
void Coordinator::departures_applied() {
    const Departures& departures = replica_->state().departures();
    if (departures.index == applied_departures_)
        return;
    const Version applied = std::exchange(applied_departures_, departures.index);
    for (const auto& [id, departure] : departures.all)
        if (departure.index > applied)
            merge(departure.report, false, BootClock::now());
    std::erase_if(confirmed_drains_,
                  [&](const EndpointId& id) { return !departures.contains(id); });
}

// Removes endpoints from the log that send no more reports. Times are counted anew by each leader,
// so that they need no common clock; a record is then only kept for longer.
void Coordinator::forget_departures(Time now) {
    if (!leads())
        return;
    const auto& all = replica_->state().departures().all;
    std::erase_if(departures_noticed_, [&](const auto& item) { return !all.contains(item.first); });
    RecordDepartures ended;
    for (const auto& [id, departure] : all) {
        const Time noticed = departures_noticed_.try_emplace(id, now).first->second;
        const Registry::Item* item = registry_.find(id);
        const bool present = item != nullptr && item->report.phase != EndpointPhase::Gone;
        if (!present && now - noticed > DepartureKept)
            ended.forgotten.push_back(id);
    }
    if (ended.forgotten.empty())
        return;
    replica_->propose(ended, [](const Expected<ApplyResult>&) {});
    pump_soon();
}

} // namespace liftweir

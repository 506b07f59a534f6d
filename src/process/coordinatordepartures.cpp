// Run by liftweir-site-control: endpoints that leave are in the replicated log before their leave
// is acknowledged. Reports of endpoints are soft state otherwise, so after a loss of all processes
// a late report, or the endpoint cache, would bring an endpoint back that has left.

#include "process/coordinator.h"
#include "process/logging.h"
#include "process/metrics.h"
#include "process/node.h"

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

std::string phase_name(const EndpointReport& report) {
    return report.phase == EndpointPhase::Gone ? "gone" : "draining";
}

} // namespace

void Coordinator::record_leave(const EndpointReport& report, Done done) {
    const Time now = BootClock::now();
    waiting_leaves_.push_back({report, std::move(done), now, now});
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
    if (due.reports.empty() || !replica_)
        return;
    if (leads()) {
        for (const EndpointReport& report : due.reports)
            propose_leave(report);
        return;
    }
    const auto leader = peers_.find(address_of(replica_->raft().leader(), config_.link_port));
    if (leader != peers_.end())
        leader->second.dialer->send(due);
}

void Coordinator::on_leaves_to_record(const Link::Ptr& link, const LeavesToRecord& received) {
    if (link->peer().role != ProcessRole::Control || !leads())
        return;
    for (const EndpointReport& report : received.reports)
        if (fault_of(report) == ReportFault::None && report.phase != EndpointPhase::Serving)
            propose_leave(report);
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
}

// Answers those that are recorded or have waited for too long, and asks for the others to be
// recorded. A commit is on a majority of the disks, which is one more than may be lost at once.
void Coordinator::answer_waiting_leaves() {
    if (waiting_leaves_.empty())
        return;
    const Time now = BootClock::now();
    std::vector<WaitingLeave> unanswered;
    for (WaitingLeave& leave : std::exchange(waiting_leaves_, {})) {
        const Duration took = now - leave.started;
        const bool recorded = replica_ && replica_->state().departures().cover(leave.report);
        const bool given_up = leaving_ || !replica_ || took > MaxLeaveWait;
        if (!recorded && !given_up) {
            unanswered.push_back(std::move(leave));
            continue;
        }
        log(recorded ? LogLevel::Info : LogLevel::Warning,
            recorded ? "leave acknowledged" : "leave not acknowledged",
            {{"endpoint", text_of(leave.report.id)},
             {"phase", phase_name(leave.report)},
             {"took_ms", std::to_string(to_millis(took))}});
        if (recorded)
            Metrics::instance().histogram("liftweir_leave_seconds").add(to_seconds(took));
        else
            Metrics::instance().counter("liftweir_leaves_unrecorded").add();
        leave.done(recorded ? Expected<void>() : fail(FailureKind::NoQuorum, "not in the log"));
    }
    std::move(unanswered.begin(), unanswered.end(), std::back_inserter(waiting_leaves_));
    request_leave_records(now);
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

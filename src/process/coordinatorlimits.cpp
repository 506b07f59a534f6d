// Run by liftweir-site-control: forwards the rate limits and shutdown notices that endpoints send
// in their answers, and while it leads, grants shares of the limits to entry hosts.

#include "process/coordinator.h"
#include "process/logging.h"

namespace liftweir {

namespace {

// A shutdown notice is kept for at least this long, and while its endpoint is registered, for entry
// hosts that start later.
constexpr Duration ShutdownNoticeTime = std::chrono::minutes(1);

} // namespace

void Coordinator::on_limit_reports(const Link::Ptr& link, const LimitReports& received, Time now) {
    LimitReports updates;
    for (const LimitReport& limit_report : received.reports) {
        if (!limits_.merge(limit_report, now))
            continue;
        log(LogLevel::Info, "endpoint limit",
            {{"endpoint", text_of(limit_report.endpoint)},
             {"per_second", std::to_string(limit_report.per_second)},
             {"age_ms", std::to_string(limit_report.age_ms)},
             {"from", link->peer().name}});
        updates.reports.push_back(limit_report);
    }
    if (updates.reports.empty())
        return;
    if (link->peer().role == ProcessRole::Entry)
        send_to_peers(updates);
    send_to_entries(updates);
}

void Coordinator::on_leaving(const Link::Ptr& link, const EndpointsLeaving& received, Time now) {
    EndpointsLeaving updates;
    for (const EndpointId& id : received.ids) {
        if (!leaving_endpoints_.emplace(id, now).second)
            continue;
        log(LogLevel::Info, "endpoint leaves",
            {{"endpoint", text_of(id)}, {"from", link->peer().name}});
        updates.ids.push_back(id);
    }
    if (updates.ids.empty())
        return;
    if (link->peer().role == ProcessRole::Entry)
        send_to_peers(updates);
    send_to_entries(updates);
}

// Sends all known limits and shutdown notices to an entry host that may have started just now.
void Coordinator::send_endpoint_signals(const Link::Ptr& link, Time now) const {
    if (!limits_.empty())
        link->send(LimitReports{limits_.reports(now)});
    EndpointsLeaving leaving;
    for (const auto& [id, since] : leaving_endpoints_)
        leaving.ids.push_back(id);
    if (!leaving.ids.empty())
        link->send(leaving);
}

void Coordinator::expire_endpoint_signals(Time now) {
    limits_.expire([this](const EndpointId& id) { return registry_.find(id) != nullptr; }, now);
    std::erase_if(leaving_endpoints_, [&](const auto& item) {
        return now - item.second > ShutdownNoticeTime && registry_.find(item.first) == nullptr;
    });
}

// Sent before the answer to the renewal, since that answer ends the renewal at the entry host.
void Coordinator::grant_limit_shares(const Link::Ptr& link, const LeaseRenewal& renew, Time now) {
    allocator_.seen(renew.entry, renew.incarnation, renew.calls, now);
    if (!leads() || limits_.limited() == 0)
        return;
    if (auto limit_shares = allocator_.grant_shares(renew.entry, limits_, now))
        link->send(LimitShares{renew.sequence, std::move(*limit_shares)});
}

} // namespace liftweir

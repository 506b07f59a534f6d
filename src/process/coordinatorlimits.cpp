// Run by liftweir-site-control: forwards the rate limits and shutdown notices that endpoints send
// in their answers, and while it leads, grants shares of the limits to entry hosts.

#include "process/coordinator.h"
#include "process/logging.h"

namespace liftweir {

namespace {

// A shutdown notice is kept for at least this long, and while its endpoint is registered, for entry
// hosts that start later.
constexpr Duration LeavingKept = std::chrono::minutes(1);

} // namespace

void Coordinator::on_limit_words(const Link::Ptr& link, const LimitReports& told, Time now) {
    LimitReports news;
    for (const LimitReport& word : told.reports) {
        if (!limits_.merge(word, now))
            continue;
        log(LogLevel::Info, "endpoint limit",
            {{"endpoint", text_of(word.endpoint)},
             {"per_second", std::to_string(word.per_second)},
             {"age_ms", std::to_string(word.age_ms)},
             {"from", link->peer().name}});
        news.reports.push_back(word);
    }
    if (news.reports.empty())
        return;
    if (link->peer().role == ProcessRole::Entry)
        send_to_peers(news);
    send_to_entries(news);
}

void Coordinator::on_leaving(const Link::Ptr& link, const EndpointsLeaving& told, Time now) {
    EndpointsLeaving news;
    for (const EndpointId& id : told.ids) {
        if (!leaving_endpoints_.emplace(id, now).second)
            continue;
        log(LogLevel::Info, "endpoint leaves",
            {{"endpoint", text_of(id)}, {"from", link->peer().name}});
        news.ids.push_back(id);
    }
    if (news.ids.empty())
        return;
    if (link->peer().role == ProcessRole::Entry)
        send_to_peers(news);
    send_to_entries(news);
}

// Sends all known limits and shutdown notices to an entry host that may have started just now.
void Coordinator::tell_answers(const Link::Ptr& link, Time now) const {
    if (!limits_.empty())
        link->send(LimitReports{limits_.reports(now)});
    EndpointsLeaving leaving;
    for (const auto& [id, since] : leaving_endpoints_)
        leaving.ids.push_back(id);
    if (!leaving.ids.empty())
        link->send(leaving);
}

void Coordinator::forget_answers(Time now) {
    limits_.expire([this](const EndpointId& id) { return registry_.find(id) != nullptr; }, now);
    std::erase_if(leaving_endpoints_, [&](const auto& item) {
        return now - item.second > LeavingKept && registry_.find(item.first) == nullptr;
    });
}

// Sent before the answer to the renewal, since that answer ends the renewal at the entry host.
void Coordinator::lend_limits(const Link::Ptr& link, const LeaseRenewal& renew, Time now) {
    allocator_.seen(renew.entry, renew.incarnation, renew.calls, now);
    if (!leads() || limits_.limited() == 0)
        return;
    if (auto limit_shares = allocator_.grant_shares(renew.entry, limits_, now))
        link->send(LimitShares{renew.sequence, std::move(*limit_shares)});
}

} // namespace liftweir

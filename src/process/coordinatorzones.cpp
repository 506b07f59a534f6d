// Run by liftweir-site-control: operators take availability zones out of use and back into use.

#include "process/coordinator.h"
#include "process/logging.h"

#include <algorithm>

namespace liftweir {

namespace {

constexpr std::size_t MaxZoneNameBytes = 256;

} // namespace

const ZonesOutOfUse& Coordinator::zones_out_of_use() const {
    static const ZonesOutOfUse none;
    return replica_ ? replica_->state().zones_out_of_use() : none;
}

// Refuses a misspelt zone: an order that changed nothing would look like one that was carried out.
bool Coordinator::is_known_zone(const std::string& zone) const {
    if (zone.empty() || zone.size() > MaxZoneNameBytes)
        return false;
    return config_.zones.empty() ||
           std::find(config_.zones.begin(), config_.zones.end(), zone) != config_.zones.end();
}

void Coordinator::set_zone_use(const std::string& zone, bool in_use, Done done) {
    if (!leads()) {
        done(fail(FailureKind::NotLeader, leader_ip()));
        return;
    }
    if (!is_known_zone(zone)) {
        done(fail(FailureKind::NotFound, "zone " + zone));
        return;
    }
    log(LogLevel::Info, "zone order", {{"zone", zone}, {"use", in_use ? "in" : "out"}});
    replica_->propose(SetZoneUse{zone, in_use},
                      [this, done = std::move(done)](const Expected<ApplyResult>& committed) {
                          if (!committed)
                              done(tl::make_unexpected(committed.error()));
                          else
                              waiting_orders_.push_back({committed->version, done});
                      });
    pump_soon();
}

void Coordinator::answer_waiting_orders() {
    std::vector<WaitingOrder> unanswered;
    for (WaitingOrder& order : std::exchange(waiting_orders_, {})) {
        if (!leads())
            order.done(fail(FailureKind::NoQuorum, "leadership was lost"));
        else if (is_durable(order.index))
            order.done({});
        else
            unanswered.push_back(std::move(order));
    }
    waiting_orders_ = std::move(unanswered);
}

void Coordinator::zones_applied() {
    const ZonesOutOfUse& zones = replica_->state().zones_out_of_use();
    if (zones.index == applied_zones_)
        return;
    applied_zones_ = zones.index;
    log(LogLevel::Info, "zones out of use",
        {{"zones", text_of(zones)}, {"index", std::to_string(zones.index)}});
    groups_.set_zones_out_of_use(zones.zones);
    send_to_entries(make_lease_ack(0));
    plan_soon();
}

} // namespace liftweir

// Names, storage and JSON form of events.

#include "process/timeline.h"

#include "process/clock.h"
#include "process/logging.h"

#include <algorithm>

namespace liftweir {

namespace {

constexpr std::size_t RingSize = 8192;

} // namespace

std::string_view name_of(EventKind kind) {
    constexpr std::string_view Names[] = {
        "process_started",   "process_draining",   "process_stopped",  "leader_elected",
        "leader_lost",       "snapshot_installed", "voters_changed",   "host_registered",
        "host_silent",       "host_returned",      "host_mode_set",    "host_released",
        "domain_dark",       "repair_chosen",      "group_formed",     "group_dissolved",
        "group_draining",    "gate_opened",        "gate_closed",      "load_started",
        "load_finished",     "load_failed",        "settings_changed", "settings_in_force",
        "settings_conflict", "lease_lost",         "lease_regained",   "request_failed",
        "request_retried",   "claim_unknown",      "group_ejected",    "endpoint_ended",
        "endpoint_back"};
    static_assert(std::size(Names) == static_cast<std::size_t>(EventKind::EndpointBack) + 1);
    return Names[static_cast<std::size_t>(kind)];
}

Timeline& Timeline::instance() {
    static Timeline timeline;
    return timeline;
}

void Timeline::name(std::string process, std::uint64_t incarnation) {
    const std::lock_guard lock(mutex_);
    process_ = std::move(process);
    incarnation_ = incarnation;
}

HybridTime Timeline::next_time() {
    const std::int64_t wall = wall_millis();
    if (wall > last_.wall_ms)
        last_ = {wall, 0};
    else
        ++last_.counter;
    return last_;
}

void Timeline::advance_to(std::int64_t wall_ms) {
    const std::lock_guard lock(mutex_);
    if (wall_ms > last_.wall_ms)
        last_ = {wall_ms, 0};
}

void Timeline::add(Event event) {
    const std::lock_guard lock(mutex_);
    event.sequence = next_++;
    event.time = next_time();
    ring_.push_back(std::move(event));
    if (ring_.size() > RingSize)
        ring_.pop_front();
}

Json::Value Timeline::since(std::uint64_t sequence) const {
    const std::lock_guard lock(mutex_);
    Json::Value out;
    out["process"] = process_;
    out["incarnation"] = Json::UInt64(incarnation_);
    out["now_ms"] = Json::Int64(wall_millis());
    const std::uint64_t first = ring_.empty() ? next_ : ring_.front().sequence;
    out["lost"] = Json::UInt64(first > sequence + 1 ? first - sequence - 1 : 0);
    out["events"] = Json::arrayValue;
    for (const Event& event : ring_) {
        if (event.sequence <= sequence)
            continue;
        Json::Value item;
        item["sequence"] = Json::UInt64(event.sequence);
        item["ms"] = Json::Int64(event.time.wall_ms);
        item["counter"] = event.time.counter;
        item["kind"] = std::string(name_of(event.kind));
        if (!event.host.empty())
            item["host"] = event.host;
        if (event.group != 0)
            item["group"] = Json::UInt64(event.group);
        if (!event.request.empty())
            item["request"] = event.request;
        if (!event.detail.empty())
            item["detail"] = event.detail;
        if (!event.cause.empty())
            item["cause"] = event.cause;
        out["events"].append(std::move(item));
    }
    return out;
}

void record(Event event) {
    LogFields fields;
    if (!event.host.empty())
        fields.emplace_back("host", event.host);
    if (event.group != 0)
        fields.emplace_back("group", std::to_string(event.group));
    if (!event.request.empty())
        fields.emplace_back("request", event.request);
    if (!event.detail.empty())
        fields.emplace_back("detail", event.detail);
    if (!event.cause.empty())
        fields.emplace_back("cause", event.cause);
    log(LogLevel::Info, name_of(event.kind), fields);
    Timeline::instance().add(std::move(event));
}

} // namespace liftweir

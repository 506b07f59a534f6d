// Applies deltas and assembles the routing table of one site.

#include "version/table.h"

#include <algorithm>

namespace liftweir {

namespace {

RoutingRules routing_rules(const SiteSettings& s) {
    RoutingRules out;
    const std::string policy = s.text("routing/policy");
    out.policy = policy == "round_robin"       ? RoutingPolicy::RoundRobin
                 : policy == "least_in_flight" ? RoutingPolicy::LeastInFlight
                                               : RoutingPolicy::TwoChoices;
    out.prefix_affinity = s.boolean("routing/prefix_affinity");
    out.affinity_load_bound = s.number("routing/affinity_load_bound");
    out.group_slots = static_cast<std::uint32_t>(s.integer("routing/group_slots"));
    out.ejection = s.boolean("routing/ejection");
    out.ejection_ratio = s.number("routing/ejection_ratio");
    out.ejection_share = s.number("routing/ejection_share");
    return out;
}

RetryRules retry_rules(const SiteSettings& s) {
    return {s.number("retries/budget"), static_cast<std::uint32_t>(s.integer("retries/attempts")),
            std::chrono::milliseconds(s.integer("retries/hedge_after_ms"))};
}

} // namespace

bool Target::has_adapter(const std::string& adapter) const {
    return adapter.empty() ||
           std::find(model.adapters.begin(), model.adapters.end(), adapter) != model.adapters.end();
}

// Versions only increase. Each part of a delta, the table and the settings, is ignored if it comes
// from a control host that lags behind.
bool TableBuilder::apply(const TableDelta& delta) {
    const bool tables = delta.version > version_ && (delta.base == 0 || delta.base <= version_);
    const bool settings =
        delta.lease_version > lease_version_ && delta.lease_base <= lease_version_;
    if (tables) {
        if (delta.base == 0) {
            groups_.clear();
            services_.clear();
        }
        for (const GroupRoute& group : delta.groups)
            groups_[group.epoch] = group;
        for (const Epoch epoch : delta.removed)
            groups_.erase(epoch);
        for (const ServiceRoute& service : delta.services)
            services_[service.host] = service;
        entries_ = delta.entries;
        version_ = delta.version;
    }
    if (settings) {
        for (const PlacedSetting& item : delta.settings)
            tree_.put(item);
        lease_version_ = delta.lease_version;
        settings_version_ = delta.settings_version;
    }
    return tables || settings;
}

std::shared_ptr<TargetStats> TableBuilder::stats_of(const HostName& host, Incarnation incarnation,
                                                    Epoch epoch) {
    auto& known = stats_[{host, incarnation, epoch}];
    auto stats = known.lock();
    if (!stats) {
        stats = std::make_shared<TargetStats>();
        known = stats;
    }
    return stats;
}

TrafficClass TableBuilder::class_of(const SiteSettings& settings, const std::string& name) const {
    const std::string prefix = "classes/" + name + "/";
    return {name, static_cast<std::uint32_t>(settings.integer(prefix + "weight")),
            static_cast<std::uint32_t>(settings.integer(prefix + "shed_order"))};
}

void TableBuilder::add_models(const SiteSettings& settings, Table& table) {
    for (const std::string& name : settings.names_under("models")) {
        ModelRoute route;
        route.name = name;
        const std::string prefix = "models/" + name + "/";
        route.traffic_class = class_of(settings, settings.text(prefix + "class"));
        route.deadline = std::chrono::milliseconds(settings.integer(prefix + "deadline_ms"));
        table.models.emplace(name, std::move(route));
    }
    for (const auto& [epoch, group] : groups_) {
        const auto route = table.models.find(group.model.model);
        if (group.site != site_ || route == table.models.end())
            continue;
        route->second.targets.push_back({group.lead, group.lead_incarnation, epoch, group.zone,
                                         group.address, group.model, group.admits,
                                         stats_of(group.lead, group.lead_incarnation, epoch)});
    }
}

void TableBuilder::add_services(const SiteSettings& settings, Table& table) {
    for (const std::string& name : settings.names_under("services")) {
        ServiceRule rule;
        rule.name = name;
        const std::string prefix = "services/" + name + "/";
        rule.repeatable = settings.boolean(prefix + "repeatable");
        rule.traffic_class = class_of(settings, settings.text(prefix + "class"));
        rule.deadline = std::chrono::milliseconds(settings.integer(prefix + "deadline_ms"));
        rule.body_bytes = static_cast<std::size_t>(settings.integer(prefix + "body_bytes"));
        rule.slots = static_cast<std::uint32_t>(settings.integer(prefix + "concurrency"));
        table.services.emplace(name, std::move(rule));
    }
    for (const auto& [host, service] : services_) {
        const auto rule = table.services.find(service.service);
        if (service.site != site_ || rule == table.services.end())
            continue;
        rule->second.targets.push_back({host,
                                        service.incarnation,
                                        NoEpoch,
                                        service.zone,
                                        service.address,
                                        {},
                                        service.admits,
                                        stats_of(host, service.incarnation, NoEpoch)});
    }
}

// Each live entry host enforces its share of a customer's limits, so that no request has to wait
// for another process.
void TableBuilder::add_customers(const SiteSettings& settings, Table& table) {
    const auto hosts = static_cast<double>(table.entry_hosts);
    for (const std::string& name : settings.names_under("customers")) {
        const std::string prefix = "customers/" + name + "/";
        Customer customer;
        customer.name = name;
        customer.weight = static_cast<std::uint32_t>(settings.integer(prefix + "weight"));
        customer.rates.requests_per_second =
            settings.number(prefix + "requests_per_second") / hosts;
        customer.rates.tokens_per_second = settings.number(prefix + "tokens_per_second") / hosts;
        customer.rates.concurrency = std::max<std::uint32_t>(
            1, static_cast<std::uint32_t>(
                   static_cast<double>(settings.integer(prefix + "concurrency")) / hosts));
        auto& limits = limits_[name];
        if (!limits)
            limits = std::make_shared<CustomerLimits>();
        customer.limits = limits;
        table.customers.emplace(settings.text(prefix + "key_digest"), std::move(customer));
    }
    table.customers.erase("");
}

std::shared_ptr<const Table> TableBuilder::build() {
    auto table = std::make_shared<Table>();
    const SiteSettings settings(tree_, site_);
    table->version = version_;
    table->settings_version = settings_version_;
    table->lease_version = lease_version_;
    table->entry_hosts = std::max<std::size_t>(
        1, static_cast<std::size_t>(
               std::count_if(entries_.begin(), entries_.end(),
                             [&](const EntryRecord& entry) { return entry.site == site_; })));
    table->routing = routing_rules(settings);
    table->retries = retry_rules(settings);
    table->limits_enabled = settings.boolean("limits/enabled");
    table->early_refusal = settings.boolean("limits/early_refusal");
    table->claims_per_customer =
        static_cast<std::uint32_t>(settings.integer("once/claims_per_customer"));
    table->answer_bytes = static_cast<std::size_t>(settings.integer("once/answer_bytes"));
    table->log_level = settings.text("log/level");
    add_models(settings, *table);
    add_services(settings, *table);
    add_customers(settings, *table);
    std::erase_if(stats_, [](const auto& item) { return item.second.expired(); });
    return table;
}

std::vector<std::string> TableBuilder::addresses() const {
    std::vector<std::string> out;
    for (const auto& [epoch, group] : groups_)
        if (group.site == site_)
            out.push_back(group.address);
    for (const auto& [host, service] : services_)
        if (service.site == site_)
            out.push_back(service.address);
    std::sort(out.begin(), out.end());
    out.erase(std::unique(out.begin(), out.end()), out.end());
    return out;
}

} // namespace liftweir

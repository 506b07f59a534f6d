// The immutable routing table of an entry host, built from the deltas that control sends.

#ifndef TABLE_H_INCLUDED
#define TABLE_H_INCLUDED

#include "process/clock.h"
#include "request/limits.h"
#include "version/state.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace liftweir {

// What an entry host knows about the load of a target. Outlives table versions and is shared by all
// threads without a lock.
struct TargetStats {
    std::atomic<std::uint32_t> in_flight{0}; // attempts of this entry host
    std::atomic<std::uint32_t> depth{0};     // running and waiting, as last reported
    std::atomic<std::int64_t> depth_at{0};   // time of that report; boot clock, ns
    std::atomic<bool> open{false};           // as last reported by the agent
    std::atomic<bool> can_resume{false};
    std::atomic<std::int64_t> closed_until{0}; // back-off after a refusal ends; boot clock, ns
    std::atomic<double> first_token_s{0};      // smoothed time to the first token
    std::atomic<std::uint32_t> samples{0};
};

// A destination of attempts: one group, or one host of a plain service.
struct Target {
    HostName host;
    Incarnation incarnation = 0;
    Epoch epoch = NoEpoch;
    std::string zone;
    std::string address;
    ModelSpec model;
    bool admits = true;
    std::shared_ptr<TargetStats> stats;

    bool has_adapter(const std::string& adapter) const;
};

struct TrafficClass {
    std::string name = "standard";
    std::uint32_t weight = 10;
    std::uint32_t shed_order = 50;
};

struct ModelRoute {
    std::string name;
    TrafficClass traffic_class;
    Duration deadline{};
    std::vector<Target> targets;
};

struct ServiceRule {
    std::string name;
    bool repeatable = false;
    TrafficClass traffic_class;
    Duration deadline{};
    std::size_t body_bytes = 0;
    std::uint32_t slots = 0;
    std::vector<Target> targets;
};

struct Customer {
    std::string name;
    std::uint32_t weight = 10;
    CustomerRates rates; // this entry host's share
    std::shared_ptr<CustomerLimits> limits;
};

enum class RoutingPolicy : std::uint8_t { TwoChoices, RoundRobin, LeastInFlight };

struct RoutingRules {
    RoutingPolicy policy = RoutingPolicy::TwoChoices;
    bool prefix_affinity = true;
    double affinity_load_bound = 1.5;
    std::uint32_t group_slots = 32;
    bool ejection = true;
    double ejection_ratio = 3;
    double ejection_share = 0.3;
};

struct RetryRules {
    double budget = 0.1;
    std::uint32_t attempts = 3;
    Duration hedge_after{};
};

// Everything that the handling of a request reads. Immutable: a new version replaces the whole
// table by read-copy-update.
struct Table {
    Version version = 0;
    Version settings_version = 0;
    Version lease_version = 0;
    std::size_t entry_hosts = 1;
    std::map<std::string, ModelRoute> models;
    std::map<std::string, ServiceRule> services;
    std::unordered_map<std::string, Customer> customers; // by digest of the API key
    RoutingRules routing;
    RetryRules retries;
    bool limits_enabled = true;
    bool early_refusal = true;
    std::uint32_t claims_per_customer = 10000;
    std::size_t answer_bytes = 16384;
    std::string log_level = "info";
};

// Builds tables from deltas, on one thread. Never returns to a lower version.
class TableBuilder {
  public:
    explicit TableBuilder(std::string site) : site_(std::move(site)) {}

    // Returns false if the delta is older than the known state or does not follow on from it.
    bool apply(const TableDelta& delta);
    std::shared_ptr<const Table> build();
    Version version() const { return version_; }
    Version lease_version() const { return lease_version_; }
    std::vector<std::string> addresses() const;

  private:
    std::shared_ptr<TargetStats> stats_of(const HostName& host, Incarnation incarnation,
                                          Epoch epoch);
    TrafficClass class_of(const SiteSettings& settings, const std::string& name) const;
    void add_models(const SiteSettings& settings, Table& table);
    void add_services(const SiteSettings& settings, Table& table);
    void add_customers(const SiteSettings& settings, Table& table);

    std::string site_;
    Version version_ = 0;
    Version settings_version_ = 0;
    Version lease_version_ = 0;
    std::map<Epoch, GroupRoute> groups_;
    std::map<HostName, ServiceRoute> services_;
    std::vector<EntryRecord> entries_;
    SettingsTree tree_;
    using StatsKey = std::tuple<HostName, Incarnation, Epoch>;
    std::map<StatsKey, std::weak_ptr<TargetStats>> stats_;
    std::map<std::string, std::shared_ptr<CustomerLimits>> limits_;
};

} // namespace liftweir

#endif // TABLE_H_INCLUDED

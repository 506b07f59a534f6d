// The settings file of a process in a deployment whose endpoints register themselves.
// Read by liftweir-site-control and liftweir-site-entry.

#ifndef SITECONFIG_H_INCLUDED
#define SITECONFIG_H_INCLUDED

#include "process/clock.h"
#include "process/failure.h"
#include "process/heartbeat.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace liftweir {

// Limits that the platform's operators promise their users. liftweir chooses its own timeouts and
// rates within them.
struct SiteBounds {
    Duration heartbeat_interval = std::chrono::milliseconds(1200); // of an endpoint
    Duration drain = std::chrono::milliseconds(2000);  // until a leaving endpoint gets no requests
    Duration grace = std::chrono::seconds(8);          // from SIGTERM to SIGKILL
    Duration revoke = std::chrono::milliseconds(5000); // until a removed key is rejected
    bool fail_closed = true; // without contact to control, no key is accepted after `revoke`
    Duration stall = std::chrono::milliseconds(5000); // until a stalled group breaks by itself
    Duration load_window = std::chrono::seconds(5);
    Duration retry_window = std::chrono::seconds(10);
    double retry_ratio = 0.2;      // retries per request, over all entry hosts
    std::uint32_t retry_slack = 0; // retries beyond that in one window

    auto operator<=>(const SiteBounds&) const = default;
};

// In such a deployment, control hosts find each other through seeds, and everything else comes from
// the document that operators store on control hosts.
struct SiteConfig {
    std::string name;
    std::string zone;
    std::string ip;
    std::uint16_t link_port = 0;       // for links between liftweir processes, on every host
    std::string link_listen;           // ip:port to bind for links, if it differs
    std::vector<std::string> zones;    // of the deployment; empty where they are not known
    std::vector<std::string> seeds;    // operator addresses (ip:port) of control hosts
    bool first_start = false;          // first start of the whole deployment, with empty disks
    std::string data;                  // data directory of a control host
    std::string control;               // ip:port for operators and endpoints
    std::string callers;               // ip:port for callers
    std::string ready;                 // ip:port for the load balancer's readiness check
    std::string metrics;               // ip:port
    std::uint32_t tolerated_hosts = 1; // control hosts that may fail at the same time
    std::uint32_t tolerated_zones = 0; // availability zones that may be lost at the same time
    bool plan_by_demand = false;       // numbers of groups follow the callers' demand
    bool plan_admission = false;       // under overload, the leader plans who is admitted
    bool book_retries = true;          // refused callers get a time at which there is capacity
    std::uint32_t memory_mb = 256;     // that this process may use
    std::uint32_t max_descriptors = 0; // open files and sockets; 0: the system's limit
    SiteBounds bounds;

    auto operator<=>(const SiteConfig&) const = default;
    std::string link_address() const {
        return link_listen.empty() ? ip + ":" + std::to_string(link_port) : link_listen;
    }
    // IP addresses of the seeds, without ports.
    std::vector<std::string> seed_ips() const;
};

// Fails with BadSettings; the detail names the file, the key, the value found and the allowed
// values.
Expected<SiteConfig> read_site_config(const std::string& file);

} // namespace liftweir

#endif // SITECONFIG_H_INCLUDED

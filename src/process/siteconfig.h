#ifndef SITECONFIG_H_INCLUDED
#define SITECONFIG_H_INCLUDED

#include "process/clock.h"
#include "process/failure.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace liftweir {

// What the platform's operators promise their users; liftweir keeps its own limits inside these.
struct SiteBounds {
    Duration beat = std::chrono::milliseconds(1200);   // between two registrations of an endpoint
    Duration drain = std::chrono::milliseconds(2000);  // a leaving endpoint gets nothing after this
    Duration grace = std::chrono::seconds(8);          // from SIGTERM to SIGKILL
    Duration revoke = std::chrono::milliseconds(5000); // a removed key works no longer than this
    bool fail_closed = true; // without touch to control, keys are not believed after `revoke`
    Duration load_window = std::chrono::seconds(5);
    Duration retry_window = std::chrono::seconds(10);
    double retry_ratio = 0.2;      // repeats for each request, all entry hosts together
    std::uint32_t retry_slack = 0; // repeats beyond that in one window

    auto operator<=>(const SiteBounds&) const = default;
};

// Settings file of a process that runs where endpoints register themselves: control hosts find
// each other through seeds, and all state comes with the operators' document.
struct SiteConfig {
    std::string name;
    std::string zone;
    std::string ip;
    std::uint16_t link_port = 0;       // for links of the system's own processes, on every host
    std::string link_listen;           // ip:port that is bound for links, where it is another one
    std::vector<std::string> seeds;    // ip:port of some control hosts, for operators
    bool first_start = false;          // of the whole system, with empty disks
    std::string data;                  // folder of a control host
    std::string control;               // ip:port for operators and endpoints
    std::string callers;               // ip:port for callers
    std::string ready;                 // ip:port for the balancer's question
    std::string metrics;               // ip:port
    std::uint32_t tolerated_hosts = 1; // control hosts that may be lost at once
    SiteBounds bounds;

    auto operator<=>(const SiteConfig&) const = default;
    std::string link_address() const {
        return link_listen.empty() ? ip + ":" + std::to_string(link_port) : link_listen;
    }
    // IPs of the seeds, without their ports.
    std::vector<std::string> seed_ips() const;
};

// Fails with BadSettings: names the file, the key, what was found and what is allowed.
Expected<SiteConfig> read_site_config(const std::string& file);

} // namespace liftweir

#endif // SITECONFIG_H_INCLUDED

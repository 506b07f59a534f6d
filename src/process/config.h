// The settings file of one process.
// Read by liftweir-control, liftweir-entry and liftweir-agent.

#ifndef CONFIG_H_INCLUDED
#define CONFIG_H_INCLUDED

#include "process/failure.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace liftweir {

enum class Program : unsigned char { Control, Entry, Agent };

// Settings of a single process, read once from a JSON file. Settings that all processes share are
// in the settings tree instead.
struct ProcessConfig {
    std::string name;
    std::string site; // organisation/region/site
    std::string zone;
    std::string listen;                           // ip:port for links between liftweir processes
    std::string http;                             // ip:port for callers, operators and metrics
    std::vector<std::string> cluster_keys;        // the first one signs
    std::map<std::uint32_t, std::string> control; // link addresses (ip:port) by node number
    // Only for liftweir-control.
    std::uint32_t node = 0;
    std::string data;
    bool join = false;                  // wait to be added to the voters
    std::string bootstrap_admin_digest; // SHA-256 of a token that always has the admin role
    // Only for liftweir-entry.
    std::uint32_t threads = 1;
    std::string metrics; // ip:port, other than the one for callers
    // Only for liftweir-agent.
    std::string domain;
    std::uint32_t accelerators = 0;
    std::string ping; // ip:port, UDP
    // ip:port that other processes connect to, if it differs from the one bound here; empty: the
    // same.
    std::string advertise;
    std::string advertise_ping;
    std::string engine_url;
    std::string service_url;
    std::string service;
    bool engine_checks_fence = true;
};

// Fails with BadSettings; the detail names the file, the key, the value found and the allowed
// values.
Expected<ProcessConfig> read_config(Program program, const std::string& file);

std::string_view name_of(Program program);

} // namespace liftweir

#endif // CONFIG_H_INCLUDED

#ifndef CONFIG_H_INCLUDED
#define CONFIG_H_INCLUDED

#include "process/failure.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace liftweir {

enum class Program : unsigned char { Control, Entry, Agent };

// A process's own settings, read once from a JSON file. What all processes share is in the tree
// of settings instead.
struct ProcessConfig {
    std::string name;
    std::string site; // organisation/region/site
    std::string zone;
    std::string listen;                           // ip:port for links of the system's own processes
    std::string http;                             // ip:port for callers, operators and metrics
    std::vector<std::string> cluster_keys;        // the first one signs
    std::map<std::uint32_t, std::string> control; // link addresses by node number
    // control
    std::uint32_t node = 0;
    std::string data;
    bool join = false;                  // wait to be added to the voters
    std::string bootstrap_admin_digest; // SHA-256 of a token that is always an admin
    // entry
    std::uint32_t threads = 1;
    std::string metrics; // ip:port, apart from the callers' one
    // agent
    std::string domain;
    std::uint32_t accelerators = 0;
    std::string ping; // ip:port, UDP
    // What other processes dial, where it is not what this one binds; empty: the same.
    std::string advertise;
    std::string advertise_ping;
    std::string engine_url;
    std::string service_url;
    std::string service;
    bool engine_checks_fence = true;
};

// Fails with BadSettings: names the file, the key, what was found and what is allowed.
Expected<ProcessConfig> read_config(Program program, const std::string& file);

std::string_view name_of(Program program);

} // namespace liftweir

#endif // CONFIG_H_INCLUDED

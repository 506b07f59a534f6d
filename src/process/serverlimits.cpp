// Divides memory and descriptors among the ports of a process.

#include "process/serverlimits.h"

#include <algorithm>
#include <cstdint>
#include <sys/resource.h>

namespace liftweir {

namespace {

// Parts of the process's memory. An eighth is left for its own state and for connections.
constexpr std::size_t MemoryParts = 8;
constexpr std::size_t RequestParts = 3;
// Answers that are read may take as much again for a moment, and the kernel's buffers need up to
// twice what they hold.
constexpr std::size_t UnreadParts = 2;
constexpr std::size_t IncompleteParts = 2;
// The log holds documents while they are agreed on.
constexpr std::size_t ParsedParts = 2;

std::size_t part_of_memory(const SiteConfig& config, std::size_t parts) {
    return (std::size_t{config.memory_mb} << 20) / MemoryParts * parts;
}

// Files, listening sockets, links to control hosts, and connections of probes.
constexpr std::size_t OwnDescriptors = 264;
// Connections to endpoints need the remaining descriptors.
constexpr std::size_t ClientPartOfDescriptors = 3;
constexpr std::size_t DescriptorParts = 4;
constexpr std::size_t MinClientConnections = 64;

std::size_t max_client_connections(std::size_t max_descriptors) {
    if (rlimit system{}; max_descriptors == 0 && getrlimit(RLIMIT_NOFILE, &system) == 0)
        max_descriptors = system.rlim_cur;
    const std::size_t left = max_descriptors - std::min(max_descriptors, OwnDescriptors);
    return std::max(MinClientConnections, left / DescriptorParts * ClientPartOfDescriptors);
}

constexpr std::size_t MaxDocumentBytes = 16u << 20;
constexpr std::size_t MaxControlConnections = 1024;

constexpr std::size_t MaxProbeBytes = 4096;
constexpr std::size_t MaxProbeConnections = 64;
constexpr std::size_t MaxProbesBytes = 1u << 20;

} // namespace

HttpServerLimits caller_limits(const CallerLimits& limits, const SiteConfig& config) {
    HttpServerLimits out;
    out.connections = max_client_connections(config.max_descriptors);
    out.request_bytes = part_of_memory(config, RequestParts);
    out.header_bytes = limits.header_bytes;
    out.body_bytes = limits.body_bytes;
    out.header_timeout = limits.header_timeout;
    out.idle_timeout = limits.idle_timeout;
    return out;
}

HttpServerLimits control_limits(const SiteConfig& config) {
    HttpServerLimits out;
    out.connections =
        std::min(MaxControlConnections, max_client_connections(config.max_descriptors));
    out.request_bytes = part_of_memory(config, RequestParts);
    out.body_bytes = MaxDocumentBytes;
    return out;
}

HttpServerLimits probe_limits() {
    HttpServerLimits out;
    out.connections = MaxProbeConnections;
    out.request_bytes = MaxProbesBytes;
    out.body_bytes = MaxProbeBytes;
    return out;
}

std::size_t max_incomplete_bytes(const SiteConfig& config) {
    return part_of_memory(config, IncompleteParts);
}

std::size_t max_unread_bytes(const SiteConfig& config) {
    return part_of_memory(config, UnreadParts);
}

std::size_t max_parsed_bytes(const SiteConfig& config) {
    return part_of_memory(config, ParsedParts);
}

} // namespace liftweir

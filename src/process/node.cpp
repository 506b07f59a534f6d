// Drawing, storing and formatting node numbers; runs in liftweir-site-control.

#include "process/node.h"

#include <asio.hpp>

#include <algorithm>
#include <charconv>
#include <random>
#include <sstream>
#include <xxhash.h>

namespace liftweir {

namespace {

constexpr const char* NodeFile = "node";
constexpr const char* FoundersFile = "founders"; // an address a line, and an empty last line
constexpr unsigned AddressBits = 32;
constexpr NodeId AddressMask = 0xffffffff;

NodeId address_bits(const std::string& ip) {
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(ip, error);
    return error ? 0 : address.to_uint();
}

} // namespace

NodeId founder_node(const std::string& ip) {
    return address_bits(ip);
}

std::string ip_of(NodeId node) {
    return asio::ip::address_v4(static_cast<std::uint32_t>(node & AddressMask)).to_string();
}

std::string address_of(NodeId node, std::uint16_t port) {
    return ip_of(node) + ":" + std::to_string(port);
}

std::uint64_t digest_of(const std::vector<NodeId>& nodes) {
    return std::max<std::uint64_t>(1, XXH64(nodes.data(), nodes.size() * sizeof(NodeId), 0));
}

std::string text_of(NodeId node) {
    return std::to_string(node >> AddressBits) + "@" + ip_of(node);
}

bool same_host(NodeId a, NodeId b) {
    return (a & AddressMask) == (b & AddressMask);
}

Expected<std::vector<std::string>>
founders_of_directory(Storage& storage, const std::vector<std::string>& seeds, bool founding) {
    const auto names = storage.list();
    if (!names)
        return tl::make_unexpected(names.error());
    if (std::find(names->begin(), names->end(), FoundersFile) == names->end()) {
        if (!founding)
            return std::vector<std::string>{};
        std::string text;
        for (const std::string& seed : seeds)
            text += seed + "\n";
        if (auto kept = storage.replace(FoundersFile, text); !kept)
            return tl::make_unexpected(kept.error());
        return seeds;
    }
    const auto text = storage.read(FoundersFile);
    if (!text)
        return tl::make_unexpected(text.error());
    std::vector<std::string> founders;
    std::istringstream lines(*text);
    for (std::string line; std::getline(lines, line);)
        founders.push_back(line);
    const bool whole = !founders.empty() && text->ends_with('\n') &&
                       std::all_of(founders.begin(), founders.end(),
                                   [](const std::string& ip) { return address_bits(ip) != 0; });
    if (!whole)
        return fail(FailureKind::Damaged, "the founders file does not contain addresses");
    return founders;
}

Expected<NodeId> node_of_directory(Storage& storage, const std::string& ip, bool founder) {
    const auto names = storage.list();
    if (!names)
        return tl::make_unexpected(names.error());
    if (std::find(names->begin(), names->end(), NodeFile) != names->end()) {
        const auto text = storage.read(NodeFile);
        if (!text)
            return tl::make_unexpected(text.error());
        NodeId node = 0;
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), node);
        if (error == std::errc() && end == text->data() + text->size() && node != NoNode)
            return node;
        return fail(FailureKind::Damaged, "the node file does not contain a node number");
    }
    NodeId node = address_bits(ip);
    if (!founder) {
        std::random_device device;
        node |= (static_cast<NodeId>(device()) | 1) << AddressBits;
    }
    if (auto kept = storage.replace(NodeFile, std::to_string(node)); !kept)
        return tl::make_unexpected(kept.error());
    return node;
}

} // namespace liftweir

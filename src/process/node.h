// Node numbers of control hosts that find each other by address.
// Runs in liftweir-site-control.

#ifndef NODE_H_INCLUDED
#define NODE_H_INCLUDED

#include "process/raft.h"
#include "process/storage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace liftweir {

// The low half of a node number is the host's IPv4 address, and the high half is a random number
// drawn for its data directory. The log's set of voters is thus all that a host needs to reach the
// others, and a host that lost its disk is a different node, which can not vote a second time under
// its former number.

// Node number of a host that takes part in the first start of a deployment. These hosts know each
// other only by address, so the number of their data directory is zero.
NodeId founder_node(const std::string& ip);
// "ip:port" of a node; all control hosts listen on one port.
std::string address_of(NodeId node, std::uint16_t port);
std::string ip_of(NodeId node);
bool same_host(NodeId a, NodeId b);
// "number@ip" for log messages, with the number of the data directory.
std::string text_of(NodeId node);

// Equal lists have equal digests, which are never zero.
std::uint64_t digest_of(const std::vector<NodeId>& nodes);

// Reads the node number of a data directory, or draws one and stores it. `founder` may only be set
// at the very first start of the whole deployment. Fails with Storage, or with Damaged where the
// file holds no number.
Expected<NodeId> node_of_directory(Storage& storage, const std::string& ip, bool founder);

// Reads the hosts that founded the deployment, by IP address, or stores `seeds` where `founding` is
// set and none are stored. Empty where none are stored. Fails with Storage, or with Damaged.
Expected<std::vector<std::string>>
founders_of_directory(Storage& storage, const std::vector<std::string>& seeds, bool founding);

} // namespace liftweir

#endif // NODE_H_INCLUDED

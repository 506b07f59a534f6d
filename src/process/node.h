#ifndef NODE_H_INCLUDED
#define NODE_H_INCLUDED

#include "process/raft.h"
#include "process/storage.h"

#include <string>

namespace liftweir {

// Where control hosts find each other by themselves, a node number carries the IPv4 address of
// the host in its low half, and in its high half a number drawn for its data folder. So the log's
// set of voters is all that a host needs to reach the others, and a host whose disk was lost is
// another node: it can never vote as its former self.

// The founders of a deployment, which know each other only by address, have folder number zero.
NodeId founder_node(const std::string& ip);
// "ip:port" of a node; all control hosts listen on one port.
std::string address_of(NodeId node, std::uint16_t port);
std::string ip_of(NodeId node);
bool same_host(NodeId a, NodeId b);
// "folder@ip", for logs.
std::string text_of(NodeId node);

// Reads the number of a data folder, or draws one and keeps it. `founder` only at the very first
// start of the whole system. Fails with Storage.
Expected<NodeId> node_of_folder(Storage& storage, const std::string& ip, bool founder);

} // namespace liftweir

#endif // NODE_H_INCLUDED

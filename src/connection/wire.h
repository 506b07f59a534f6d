// All messages between the system's own processes, grouped by sender and receiver.

#ifndef WIRE_H_INCLUDED
#define WIRE_H_INCLUDED

#include "process/limitallocator.h"
#include "process/quarantine.h"
#include "process/raft.h"
#include "process/registry.h"
#include "request/groupload.h"
#include "request/modeldemand.h"
#include "request/outcome.h"
#include "request/retryshare.h"
#include "version/state.h"

#include <array>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace liftweir {

// New alternatives and fields are only appended, since a rolling upgrade mixes neighbouring
// releases.

// ---- control to control

struct RaftPacket {
    NodeId from = NoNode;
    std::string body; // an encoded RaftMessage
    // The receiver. A host whose disk was lost must not answer as the node that it was before.
    NodeId to = NoNode;
    MSGPACK_DEFINE(from, body, to)
};

// ---- agent to control

enum class AgentPhase : std::uint8_t { Idle, Loading, Ready, Draining, Releasing };

struct AgentStatus {
    HostSpec spec; // its name is empty once control knows the host
    HostName host;
    Incarnation incarnation = 0;
    Epoch held = NoEpoch;
    AgentPhase phase = AgentPhase::Idle;
    bool gate_open = false; // true only on the lead of a group
    std::uint32_t in_flight = 0;
    bool leaving = false;
    std::vector<HostName> missing; // on the lead: members without a recent ping reply
    Epoch fence = NoEpoch;         // orders up to this epoch are refused
    bool endpoint_gone = false;    // the endpoint's process ended and is not back yet
    MSGPACK_DEFINE(spec, host, incarnation, held, phase, gate_open, in_flight, leaving, missing,
                   fence, endpoint_gone)
};

// ---- control to agent

struct Assignment {
    Epoch epoch = NoEpoch; // NoEpoch: no group is assigned
    ModelSpec model;
    std::vector<Member> members; // the lead first
    bool draining = false;
    std::uint32_t echo_timeout_ms = 1500;
    std::uint32_t slots = 32;
    std::uint32_t queue = 256;
    bool waits_to_open = true; // a member's previous group may stay open for one more ping timeout

    auto operator<=>(const Assignment&) const = default;
    MSGPACK_DEFINE(epoch, model, members, draining, echo_timeout_ms, slots, queue, waits_to_open)
};

struct AgentOrder {
    Term term = 0; // term of the leader that sends the order
    bool registered = false;
    bool has_assignment = false;
    Assignment assignment;
    Epoch fence = NoEpoch; // release everything up to this epoch
    MSGPACK_DEFINE(term, registered, has_assignment, assignment, fence)
};

struct NotLeaderReply {
    NodeId leader = NoNode; // NoNode if unknown
    MSGPACK_DEFINE(leader)
};

// ---- entry to control

struct LeaseRenewal {
    std::string entry;
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    Version table = 0;
    Version lease = 0;
    bool want_delta = false;
    std::uint64_t registry = 0;  // digest of the endpoints that the entry host knows
    std::uint64_t calls = 0;     // calls accepted since the start of the entry host
    std::uint32_t in_flight = 0; // calls in progress
    // The entry host needs the routable endpoints only; entry hosts of earlier releases need all.
    bool routable_only = false;
    std::uint64_t routable = 0;  // digest of the routable endpoints that the entry host knows
    bool wants_restored = false; // the entry host has just started and knows no endpoints
    Index voters_index = 0;      // of the voters that the entry host knows
    std::uint64_t nodes = 0;     // digest of the control hosts that the receiver listed last
    RetryShare retry_share;      // that the entry host holds
    MSGPACK_DEFINE(entry, incarnation, sequence, table, lease, want_delta, registry, calls,
                   in_flight, routable_only, routable, wants_restored, voters_index, nodes,
                   retry_share)
};

// Acknowledges a lease renewal: the control host confirms that its log holds no command above
// `logged` that raises the lease version. An entry host needs this from a majority of the voters.
struct LeaseAck {
    NodeId node = NoNode;
    std::uint64_t sequence = 0; // of the LeaseRenewal; 0 for an unsolicited update
    Version logged = 0;
    Version table = 0;
    Voters voters; // empty where the entry host knows them
    NodeId leader = NoNode;
    bool registered = false; // this incarnation of the entry host is registered
    bool has_delta = false;
    TableDelta delta;
    Index voters_index = 0;    // of the log entry that set the voters
    std::vector<NodeId> nodes; // all control hosts, voters or not; empty where they are known
    std::uint32_t entries = 0; // number of connected entry hosts
    std::uint32_t in_flight_total = 0; // calls in progress at all of them
    ZonesOutOfUse zones;               // of the same state as `table`
    RetryShare retry_share;            // valid from when the renewal was sent; from the leader only
    MSGPACK_DEFINE(node, sequence, logged, table, voters, leader, registered, has_delta, delta,
                   voters_index, nodes, entries, in_flight_total, zones, retry_share)
};

struct CommandRequest {
    std::uint64_t id = 0;
    std::string command; // an encoded Command
    MSGPACK_DEFINE(id, command)
};

struct CommandReply {
    std::uint64_t id = 0;
    bool ok = false;
    FailureKind failure = FailureKind::NoQuorum;
    std::string detail;
    Version version = 0;
    bool has_claim = false;
    ClaimRecord claim;
    MSGPACK_DEFINE(id, ok, failure, detail, version, has_claim, claim)
};

// ---- entry to agent

struct Attempt {
    AttemptId id;
    HostName host;               // the receiver
    Incarnation incarnation = 0; // the receiver's incarnation
    Epoch epoch = NoEpoch;       // NoEpoch for a plain service
    std::string customer;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::string adapter;
    std::uint32_t deadline_ms = 0; // counted from the receipt of this message
    std::uint32_t class_weight = 10;
    std::uint32_t customer_weight = 10;
    std::uint32_t shed_order = 50;
    std::string traffic_class;
    bool early_refusal = true;
    std::uint32_t resume_tokens = 0;   // tokens that the caller already has
    std::uint32_t window = 0;          // bytes that may be in flight towards the entry host
    std::uint32_t expected_tokens = 0; // expected length of the response, 0 if unknown
    std::uint32_t slots = 0;           // most calls in flight at a plain service
    bool repeatable = false;
    bool streamed = false; // the response is a stream of server-sent events
    MSGPACK_DEFINE(id, host, incarnation, epoch, customer, method, path, content_type, body,
                   adapter, deadline_ms, class_weight, customer_weight, shed_order, traffic_class,
                   early_refusal, resume_tokens, window, expected_tokens, slots, repeatable,
                   streamed)
};

struct CancelAttempt {
    AttemptId id;
    MSGPACK_DEFINE(id)
};

struct Credit {
    AttemptId id;
    std::uint32_t bytes = 0;
    MSGPACK_DEFINE(id, bytes)
};

// ---- agent to entry

struct GateState {
    HostName host;
    Incarnation incarnation = 0;
    Epoch epoch = NoEpoch; // NoEpoch: the host belongs to no group
    bool open = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool can_resume = false;
    MSGPACK_DEFINE(host, incarnation, epoch, open, running, waiting, can_resume)
};

// The agent did not run the attempt and never will.
struct Refused {
    AttemptId id;
    FailureKind reason = FailureKind::NoEndpoint;
    std::uint32_t retry_after_ms = 0; // 0 if the attempt may be sent to another endpoint at once
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    MSGPACK_DEFINE(id, reason, retry_after_ms, running, waiting)
};

struct Head {
    AttemptId id;
    std::uint32_t status = 0;
    std::string content_type;
    MSGPACK_DEFINE(id, status, content_type)
};

struct Chunk {
    AttemptId id;
    std::uint32_t number = 0; // from 0, without gaps
    std::uint32_t tokens = 0; // generated so far, including those before a resumption
    std::string bytes;
    MSGPACK_DEFINE(id, number, tokens, bytes)
};

// Marks the response as complete. A stream that stops without it has failed.
struct End {
    AttemptId id;
    std::uint32_t chunks = 0;
    std::uint64_t bytes = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    MSGPACK_DEFINE(id, chunks, bytes, running, waiting)
};

// The attempt ended without a complete response. If `started` is false, it never reached the
// endpoint and never will.
struct Broken {
    AttemptId id;
    bool started = true;
    FailureKind reason = FailureKind::EndpointFailed;
    bool ended = false;   // the endpoint's process ended while it was running the attempt
    bool suspect = false; // the attempt is suspected to have caused that
    MSGPACK_DEFINE(id, started, reason, ended, suspect)
};

// ---- deployments whose endpoints register themselves (liftweir-site-*)

// A control host introduces itself to another one and lists the control hosts that it knows.
struct PeerHello {
    NodeId node = NoNode;
    std::vector<NodeId> nodes;
    std::uint64_t registry = 0;     // digest of the endpoints that it knows
    bool registry_complete = false; // it has run long enough to have a report from every endpoint
    std::uint64_t term = 0;         // of its log; only earlier releases read it
    bool records_leaves = false;    // it takes LeavesToRecord; false for earlier releases
    bool answers_probes = false;    // it takes LinkProbe; false for earlier releases
    MSGPACK_DEFINE(node, nodes, registry, registry_complete, term, records_leaves, answers_probes)
};

// Reports of endpoints that the receiver may not have yet.
struct EndpointChanges {
    std::vector<EndpointReport> reports;
    // Age of each report, in the same order; empty if all of them are current.
    std::vector<std::uint32_t> silent_ms;
    // Endpoints that an entry host has and that the sender, which has received the heartbeats of
    // all endpoints, does not know.
    std::vector<EndpointId> unknown;
    MSGPACK_DEFINE(reports, silent_ms, unknown)

    Duration silent(std::size_t n) const {
        return std::chrono::milliseconds(n < silent_ms.size() ? silent_ms[n] : 0);
    }
};

// Endpoints that have renewed their registration without a change.
struct EndpointsAlive {
    std::vector<EndpointId> ids;
    std::vector<std::uint64_t> digests; // of their reports; only earlier releases read them
    MSGPACK_DEFINE(ids, digests)
};

// The complete document that is in force.
struct DocumentPush {
    StoredDocument document;
    ZonesOutOfUse zones; // of the same state as the document
    MSGPACK_DEFINE(document, zones)
};

// All streams of a group have stalled at the sending entry host.
struct GroupSuspected {
    Epoch epoch = NoEpoch;
    EndpointId lead;
    std::uint32_t silent_ms = 0;
    MSGPACK_DEFINE(epoch, lead, silent_ms)
};

// Groups that no longer serve, although the last reports of their lost leads say that they do.
struct GroupsDissolved {
    std::vector<Epoch> epochs;
    MSGPACK_DEFINE(epochs)
};

// Endpoints that a control host knew before it lost power. Sent only to an entry host that has just
// started; any newer report of an endpoint takes precedence.
struct EndpointsRestored {
    std::vector<EndpointReport> reports;
    MSGPACK_DEFINE(reports)
};

// The work that an entry host has in progress at groups; from control, the work of the other entry
// hosts.
struct GroupLoadReports {
    std::string entry;             // the sender; empty from control
    std::uint32_t interval_ms = 0; // from control: interval of these messages in both directions
    std::vector<GroupLoadReport> reports;
    MSGPACK_DEFINE(entry, interval_ms, reports)
};

// Digests of the sender's registry by range of names, sent when the receiver's registry differs.
struct RegistryDigests {
    RangeDigests ranges{};
    bool routable_only = false; // of the routable endpoints
    MSGPACK_DEFINE(ranges, routable_only)
};

// Requests the receiver's reports of these ranges.
struct RangesRequested {
    std::vector<std::uint32_t> ranges;
    bool routable_only = false;   // only the routable endpoints are needed
    std::vector<EndpointId> held; // those of the ranges that the sender takes for routable
    MSGPACK_DEFINE(ranges, routable_only, held)
};

// An endpoint aborted these requests. Sent by the entry host that noticed it, and forwarded from
// one control host to another.
struct RequestsAborted {
    EndpointId endpoint;
    std::vector<AbortedRequest> requests;
    std::vector<AbortedPart> parts; // of the prompts of those that it had not begun to answer
    MSGPACK_DEFINE(endpoint, requests, parts)
};

// Requests and parts of prompts that the sender suspects of crashing endpoints, and those that have
// been answered since and are cleared.
struct SuspectRequests {
    std::vector<SuspectRequest> known;
    std::vector<Fingerprint> cleared;
    std::vector<Fingerprint> answered; // parts that were answered before their crashes
    MSGPACK_DEFINE(known, cleared, answered)
};

// Request rates that endpoints announce as their limits. Sent by the entry host that received the
// announcement, and forwarded by control.
struct LimitReports {
    std::vector<LimitReport> reports;
    MSGPACK_DEFINE(reports)
};

// Shares of rate limits that the leading control host grants to an entry host. They are valid from
// the time at which the LeaseRenewal with this sequence was sent.
struct LimitShares {
    std::uint64_t sequence = 0;
    std::vector<LimitShare> limit_shares;
    MSGPACK_DEFINE(sequence, limit_shares)
};

// Endpoints that have announced in their responses that they are leaving. Sent by the entry host
// that received the announcement, and forwarded by control.
struct EndpointsLeaving {
    std::vector<EndpointId> ids;
    MSGPACK_DEFINE(ids)
};

// What callers ask of the sending entry host. One without callers sends a single empty message.
struct DemandReports {
    std::string entry;
    std::uint32_t interval_ms = 0; // of these messages
    std::vector<ModelDemand> lines;
    MSGPACK_DEFINE(entry, interval_ms, lines)
};

// From the leading control host to all entry hosts while models are overloaded; empty once none is.
struct AdmissionPlan {
    std::vector<AdmissionLevel> levels;
    MSGPACK_DEFINE(levels)
};

// Reports of endpoints that leave. Sent to the leader, which puts them into the replicated log and
// returns those that are on enough disks.
struct LeavesToRecord {
    std::vector<EndpointReport> reports;
    MSGPACK_DEFINE(reports)
};

// Leaves that the receiver may acknowledge.
struct LeavesRecorded {
    std::vector<LeaveId> leaves;
    MSGPACK_DEFINE(leaves)
};

// Asks whether a link still carries messages both ways. The reply comes over the same link.
struct LinkProbe {
    bool reply = false;
    MSGPACK_DEFINE(reply)
};

using WireMessage =
    std::variant<RaftPacket, AgentStatus, AgentOrder, NotLeaderReply, LeaseRenewal, LeaseAck,
                 CommandRequest, CommandReply, Attempt, CancelAttempt, Credit, GateState, Refused,
                 Head, Chunk, End, Broken, PeerHello, EndpointChanges, EndpointsAlive, DocumentPush,
                 GroupSuspected, GroupsDissolved, EndpointsRestored, GroupLoadReports,
                 RegistryDigests, RangesRequested, RequestsAborted, SuspectRequests, LimitReports,
                 LimitShares, EndpointsLeaving, DemandReports, AdmissionPlan, LeavesToRecord,
                 LeavesRecorded, LinkProbe>;

// Names of the alternatives in their order, as metrics label them.
constexpr std::array<std::string_view, std::variant_size_v<WireMessage>> MessageNames = {
    "raft",
    "agent_status",
    "agent_order",
    "not_leader",
    "renew",
    "vouch",
    "command_request",
    "command_reply",
    "attempt",
    "cancel",
    "credit",
    "gate_state",
    "refused",
    "head",
    "chunk",
    "end",
    "broken",
    "peer_hello",
    "changes",
    "alive",
    "document",
    "group_suspected",
    "groups_dissolved",
    "remembered",
    "group_shares",
    "registry_digests",
    "ranges_wanted",
    "requests_cut_off",
    "suspicions",
    "limit_words",
    "limit_loans",
    "leaving",
    "demand_reports",
    "admission_plan",
    "leaves_to_record",
    "leaves_recorded",
    "link_probe"};

// ---- member to member, by UDP

// Asks a member whether it holds its part of the group. The reply carries the same epoch and
// sequence, so it proves the member's state at some time after the ping was sent.
struct Ping {
    Epoch epoch = NoEpoch;
    std::uint64_t sequence = 0;
    Incarnation from = 0;
    Incarnation to = 0;
    MSGPACK_DEFINE(epoch, sequence, from, to)
};

struct PingReply {
    Epoch epoch = NoEpoch;
    std::uint64_t sequence = 0;
    Incarnation from = 0;
    MSGPACK_DEFINE(epoch, sequence, from)
};

using Datagram = std::variant<Ping, PingReply>;

} // namespace liftweir

MSGPACK_ADD_ENUM(liftweir::AgentPhase)

#endif // WIRE_H_INCLUDED

#ifndef WIRE_H_INCLUDED
#define WIRE_H_INCLUDED

#include "process/limitallocator.h"
#include "process/quarantine.h"
#include "process/raft.h"
#include "process/registry.h"
#include "request/groupload.h"
#include "request/outcome.h"
#include "version/state.h"

#include <array>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace liftweir {

// Messages between the system's own processes. Alternatives and fields are only ever appended:
// a rolling upgrade mixes neighbouring releases.

// ---- control to control

struct RaftPacket {
    NodeId from = NoNode;
    std::string body; // an encoded RaftMessage
    // Whom it is for. A host whose disk was lost must not answer for the node that it once was.
    NodeId to = NoNode;
    MSGPACK_DEFINE(from, body, to)
};

// ---- agent to control

enum class AgentPhase : std::uint8_t { Idle, Loading, Ready, Draining, Releasing };

struct AgentStatus {
    HostSpec spec; // empty name once control knows it
    HostName host;
    Incarnation incarnation = 0;
    Epoch held = NoEpoch;
    AgentPhase phase = AgentPhase::Idle;
    bool gate_open = false; // as lead
    std::uint32_t in_flight = 0;
    bool leaving = false;
    std::vector<HostName> missing; // as lead: members without a fresh echo
    Epoch fence = NoEpoch;         // orders up to this epoch are refused
    bool endpoint_gone = false;    // its process ended and does not answer yet
    MSGPACK_DEFINE(spec, host, incarnation, held, phase, gate_open, in_flight, leaving, missing,
                   fence, endpoint_gone)
};

// ---- control to agent

struct Assignment {
    Epoch epoch = NoEpoch; // NoEpoch: hold nothing
    ModelSpec model;
    std::vector<Member> members; // the first one leads
    bool draining = false;
    std::uint32_t echo_timeout_ms = 1500;
    std::uint32_t slots = 32;
    std::uint32_t queue = 256;
    bool waits_to_open = true; // a member's old group may be open for one echo timeout more

    auto operator<=>(const Assignment&) const = default;
    MSGPACK_DEFINE(epoch, model, members, draining, echo_timeout_ms, slots, queue, waits_to_open)
};

struct AgentOrder {
    Term term = 0; // of the leader that gives it
    bool registered = false;
    bool has_assignment = false;
    Assignment assignment;
    Epoch fence = NoEpoch; // release everything up to this epoch
    MSGPACK_DEFINE(term, registered, has_assignment, assignment, fence)
};

struct NotLeaderReply {
    NodeId leader = NoNode; // NoNode where unknown
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
    std::uint64_t calls = 0;     // taken since its start
    std::uint32_t in_flight = 0; // calls under way
    MSGPACK_DEFINE(entry, incarnation, sequence, table, lease, want_delta, registry, calls,
                   in_flight)
};

// One control host's word that its log holds no lease-relevant command above `logged`.
struct LeaseAck {
    NodeId node = NoNode;
    std::uint64_t sequence = 0; // of the LeaseRenewal; 0 for an unasked push
    Version logged = 0;
    Version table = 0;
    Voters voters;
    NodeId leader = NoNode;
    bool registered = false; // this incarnation of the entry host
    bool has_delta = false;
    TableDelta delta;
    Index voters_index = 0;            // of the log entry that set the voters
    std::vector<NodeId> nodes;         // all control hosts, voters or not
    std::uint32_t entries = 0;         // entry hosts in touch
    std::uint32_t in_flight_total = 0; // calls under way at all of them
    MSGPACK_DEFINE(node, sequence, logged, table, voters, leader, registered, has_delta, delta,
                   voters_index, nodes, entries, in_flight_total)
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
    HostName host;               // whom it is for
    Incarnation incarnation = 0; // in which incarnation
    Epoch epoch = NoEpoch;       // NoEpoch for a plain service
    std::string customer;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::string adapter;
    std::uint32_t deadline_ms = 0; // from receipt
    std::uint32_t class_weight = 10;
    std::uint32_t customer_weight = 10;
    std::uint32_t shed_order = 50;
    std::string traffic_class;
    bool early_refusal = true;
    std::uint32_t resume_tokens = 0;   // tokens that the caller already has
    std::uint32_t window = 0;          // bytes that may be in flight towards the entry host
    std::uint32_t expected_tokens = 0; // expected length of the answer, 0 where unknown
    std::uint32_t slots = 0;           // calls in flight at a plain service
    bool repeatable = false;
    bool streamed = false; // the answer is a stream of server-sent events
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
    Epoch epoch = NoEpoch; // NoEpoch: no group is held
    bool open = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    bool can_resume = false;
    MSGPACK_DEFINE(host, incarnation, epoch, open, running, waiting, can_resume)
};

// The attempt was not run and never will be.
struct Refused {
    AttemptId id;
    FailureKind reason = FailureKind::NoEndpoint;
    std::uint32_t retry_after_ms = 0; // 0 where another endpoint may take it at once
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
    std::uint32_t tokens = 0; // generated so far, resumed ones included
    std::string bytes;
    MSGPACK_DEFINE(id, number, tokens, bytes)
};

// Without it a stream is a failure, never an answer.
struct End {
    AttemptId id;
    std::uint32_t chunks = 0;
    std::uint64_t bytes = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    MSGPACK_DEFINE(id, chunks, bytes, running, waiting)
};

// The attempt ended without a whole answer. Where `started` is false it never reached the
// endpoint and never will.
struct Broken {
    AttemptId id;
    bool started = true;
    FailureKind reason = FailureKind::EndpointFailed;
    bool ended = false;   // the endpoint's process ended while it had the attempt
    bool suspect = false; // and it looks as if the attempt ended it
    MSGPACK_DEFINE(id, started, reason, ended, suspect)
};

// ---- where endpoints register themselves

// A control host tells another who it is and whom it knows.
struct PeerHello {
    NodeId node = NoNode;
    std::vector<NodeId> nodes;
    std::uint64_t registry = 0; // digest of the endpoints that it knows
    bool settled = false;       // it has run for long enough to have heard of all endpoints
    std::uint64_t term = 0;     // of its log; only hosts of earlier releases read it
    MSGPACK_DEFINE(node, nodes, registry, settled, term)
};

// Reports that the receiver may not have yet.
struct EndpointChanges {
    std::vector<EndpointReport> reports;
    // How long ago each was heard of, in the same order; none where all were heard just now.
    std::vector<std::uint32_t> silent_ms;
    MSGPACK_DEFINE(reports, silent_ms)

    Duration silent(std::size_t n) const {
        return std::chrono::milliseconds(n < silent_ms.size() ? silent_ms[n] : 0);
    }
};

// Endpoints that have registered again without a change.
struct EndpointsAlive {
    std::vector<EndpointId> ids;
    std::vector<std::uint64_t>
        digests; // of their reports; only hosts of earlier releases read them
    MSGPACK_DEFINE(ids, digests)
};

// The document in force, whole.
struct DocumentPush {
    StoredDocument document;
    MSGPACK_DEFINE(document)
};

// All streams of a group stand still at an entry host.
struct GroupSuspected {
    Epoch epoch = NoEpoch;
    EndpointId lead;
    std::uint32_t silent_ms = 0;
    MSGPACK_DEFINE(epoch, lead, silent_ms)
};

// Groups that serve no more, though their leads, which are lost, last said that they do.
struct GroupsDissolved {
    std::vector<Epoch> epochs;
    MSGPACK_DEFINE(epochs)
};

// Endpoints that a control host knew before it lost power. Only for an entry host that has just
// begun; what endpoints say since then goes first.
struct EndpointsRestored {
    std::vector<EndpointReport> reports;
    MSGPACK_DEFINE(reports)
};

// What an entry host has under way at groups; from control, what the other entry hosts have.
struct GroupLoadReports {
    std::string entry;             // who tells; empty from control
    std::uint32_t interval_ms = 0; // from control: how often the host is to tell, and is told
    std::vector<GroupLoadReport> shares;
    MSGPACK_DEFINE(entry, interval_ms, shares)
};

// Digests of the sender's registry by range of names, where the receiver's differs.
struct RegistryDigests {
    RangeDigests ranges{};
    MSGPACK_DEFINE(ranges)
};

// The receiver's reports of these ranges are wanted.
struct RangesRequested {
    std::vector<std::uint32_t> ranges;
    MSGPACK_DEFINE(ranges)
};

// An endpoint broke these requests off. From who saw it, and from one control host to another.
struct RequestsAborted {
    EndpointId endpoint;
    std::vector<AbortedRequest> requests;
    MSGPACK_DEFINE(endpoint, requests)
};

// What the sender knows of requests that end endpoints, and which ones were answered after all.
struct SuspectRequests {
    std::vector<SuspectRequest> known;
    std::vector<Fingerprint> cleared;
    MSGPACK_DEFINE(known, cleared)
};

// What endpoints say of the requests a second that they take. From who was told, and from control.
struct LimitReports {
    std::vector<LimitReport> reports;
    MSGPACK_DEFINE(reports)
};

// The control host that leads lends parts of the limits to an entry host. They count from when the
// LeaseRenewal of this sequence left.
struct LimitShares {
    std::uint64_t sequence = 0;
    std::vector<LimitShare> limit_shares;
    MSGPACK_DEFINE(sequence, limit_shares)
};

// Endpoints that have announced in their answers that they leave. From who was told, and from
// control.
struct EndpointsLeaving {
    std::vector<EndpointId> ids;
    MSGPACK_DEFINE(ids)
};

using WireMessage =
    std::variant<RaftPacket, AgentStatus, AgentOrder, NotLeaderReply, LeaseRenewal, LeaseAck,
                 CommandRequest, CommandReply, Attempt, CancelAttempt, Credit, GateState, Refused,
                 Head, Chunk, End, Broken, PeerHello, EndpointChanges, EndpointsAlive, DocumentPush,
                 GroupSuspected, GroupsDissolved, EndpointsRestored, GroupLoadReports,
                 RegistryDigests, RangesRequested, RequestsAborted, SuspectRequests, LimitReports,
                 LimitShares, EndpointsLeaving>;

// Names of the alternatives, in their order, for metrics.
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
    "leaving"};

// ---- member to member, by UDP

// Asks a member whether it holds its part of the group. Its echo carries the same epoch and
// sequence, so an echo proves the member's state at some time after the ping was sent.
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

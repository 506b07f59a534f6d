// Computes the settings lease from acknowledgements of control hosts; runs in the entry host
// programs.

#include "process/leaseholder.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace liftweir {

namespace {

constexpr std::size_t RenewalsKept = 16;

} // namespace

std::uint64_t LeaseHolder::renewal_sent(NodeId node, Time now) {
    LeaseAcceptor& acceptor = acceptors_[node];
    acceptor.asked[next_sequence_] = now;
    if (acceptor.asked.size() > RenewalsKept)
        acceptor.asked.erase(acceptor.asked.begin());
    return next_sequence_++;
}

std::optional<Time> LeaseHolder::renewal_sent_at(NodeId node, std::uint64_t sequence) const {
    const auto acceptor = acceptors_.find(node);
    if (acceptor == acceptors_.end())
        return {};
    const auto asked = acceptor->second.asked.find(sequence);
    return asked == acceptor->second.asked.end() ? std::nullopt : std::optional(asked->second);
}

// An acknowledgement counts only if it confirms the version that this entry host has, and it counts
// from the moment when the renewal was sent. An unsolicited one does not extend the lease.
void LeaseHolder::on_lease_ack(const LeaseAck& lease_ack, Version lease, Time /*now*/) {
    behind_ = lease_ack.logged > lease;
    // A control host whose log is behind must not restore an older set of voters.
    if (!lease_ack.voters.empty() && lease_ack.voters_index >= voters_index_) {
        voters_ = lease_ack.voters;
        voters_index_ = lease_ack.voters_index;
    }
    LeaseAcceptor& acceptor = acceptors_[lease_ack.node];
    const auto asked = acceptor.asked.find(lease_ack.sequence);
    if (asked == acceptor.asked.end())
        return;
    if (lease_ack.registered && lease_ack.logged <= lease)
        acceptor.confirmed = std::max(acceptor.confirmed, asked->second);
    acceptor.asked.erase(acceptor.asked.begin(), std::next(asked));
}

Time LeaseHolder::valid_until() const {
    std::vector<Time> confirmed;
    for (const NodeId node : voters_) {
        const auto acceptor = acceptors_.find(node);
        confirmed.push_back(acceptor == acceptors_.end() ? Time{} : acceptor->second.confirmed);
    }
    if (confirmed.empty())
        return {};
    std::sort(confirmed.begin(), confirmed.end(), std::greater<>());
    const Time majority = confirmed[confirmed.size() / 2];
    return majority == Time{} ? Time{} : majority + length_;
}

} // namespace liftweir

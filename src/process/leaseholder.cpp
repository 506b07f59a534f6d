#include "process/leaseholder.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace liftweir {

namespace {

constexpr std::size_t QuestionsKept = 16;

} // namespace

std::uint64_t LeaseHolder::asked(NodeId node, Time now) {
    LeaseAcceptor& acceptor = acceptors_[node];
    acceptor.asked[next_] = now;
    if (acceptor.asked.size() > QuestionsKept)
        acceptor.asked.erase(acceptor.asked.begin());
    return next_++;
}

std::optional<Time> LeaseHolder::asked_at(NodeId node, std::uint64_t sequence) const {
    const auto acceptor = acceptors_.find(node);
    if (acceptor == acceptors_.end())
        return {};
    const auto asked = acceptor->second.asked.find(sequence);
    return asked == acceptor->second.asked.end() ? std::nullopt : std::optional(asked->second);
}

// Only a vouch that covers what this entry host holds counts, and it counts from the moment the
// question left. A push without a question proves no time at all.
void LeaseHolder::on_lease_ack(const LeaseAck& lease_ack, Version lease, Time /*now*/) {
    behind_ = lease_ack.logged > lease;
    // A control host that is behind must not bring back an older set of voters.
    if (!lease_ack.voters.empty() && lease_ack.voters_index >= voters_index_) {
        voters_ = lease_ack.voters;
        voters_index_ = lease_ack.voters_index;
    }
    LeaseAcceptor& acceptor = acceptors_[lease_ack.node];
    const auto asked = acceptor.asked.find(lease_ack.sequence);
    if (asked == acceptor.asked.end())
        return;
    if (lease_ack.registered && lease_ack.logged <= lease)
        acceptor.proved = std::max(acceptor.proved, asked->second);
    acceptor.asked.erase(acceptor.asked.begin(), std::next(asked));
}

Time LeaseHolder::valid_until() const {
    std::vector<Time> proved;
    for (const NodeId node : voters_) {
        const auto acceptor = acceptors_.find(node);
        proved.push_back(acceptor == acceptors_.end() ? Time{} : acceptor->second.proved);
    }
    if (proved.empty())
        return {};
    std::sort(proved.begin(), proved.end(), std::greater<>());
    const Time majority = proved[proved.size() / 2];
    return majority == Time{} ? Time{} : majority + length_;
}

} // namespace liftweir

// Replacement of failed voters; runs in liftweir-site-control.

#include "process/voterselector.h"

#include "process/node.h"

#include <algorithm>

namespace liftweir {

namespace {

// A failed voter has to be replaced before the next one fails. Replacing a voter that was only
// frozen or partitioned costs nothing: it returns as a spare. The time is longer than a slow
// election or a stalled sync.
constexpr Duration ReplaceVoterAfter = std::chrono::milliseconds(1500);
// A host may become a voter if its last reply is no older than this.
constexpr Duration RecentReply = std::chrono::milliseconds(500);

const NodeView* view_of(const std::vector<NodeView>& views, NodeId node) {
    const auto found =
        std::find_if(views.begin(), views.end(), [&](const NodeView& v) { return v.node == node; });
    return found == views.end() ? nullptr : &*found;
}

// True where a node with another data directory replies from the same host: the old data directory
// is lost for good.
bool superseded(NodeId voter, const Voters& voters, const std::vector<NodeView>& views) {
    return std::any_of(views.begin(), views.end(), [&](const NodeView& v) {
        return v.node != voter && same_host(v.node, voter) && !voters.contains(v.node) &&
               v.silent < RecentReply;
    });
}

} // namespace

// The new voter is added before the failed one is removed, so that at no step fewer live hosts
// vote.
std::optional<Voters> VoterSelector::next(NodeId self, const Voters& voters,
                                          const std::vector<NodeView>& others) const {
    NodeId failed_voter = NoNode;
    Duration longest{};
    for (const NodeId voter : voters) {
        if (voter == self)
            continue;
        const NodeView* view = view_of(others, voter);
        const bool host_votes_twice = std::any_of(voters.begin(), voters.end(), [&](NodeId other) {
            return other != voter && same_host(other, voter);
        });
        const Duration silent = view == nullptr ? Duration::zero() : view->silent;
        const bool failed = silent > ReplaceVoterAfter || superseded(voter, voters, others) ||
                            (host_votes_twice && silent > RecentReply);
        if (failed && (failed_voter == NoNode || silent > longest)) {
            failed_voter = voter;
            longest = silent;
        }
    }
    NodeId spare = NoNode;
    for (const NodeView& view : others)
        if (!voters.contains(view.node) && view.caught_up && view.silent < RecentReply)
            spare = view.node;

    Voters next = voters;
    if (voters.size() > target_ && failed_voter != NoNode) {
        next.erase(failed_voter);
        return next;
    }
    const bool wants_more =
        voters.size() < target_ || (voters.size() == target_ && failed_voter != NoNode);
    if (wants_more && spare != NoNode) {
        next.insert(spare);
        return next;
    }
    if (voters.size() > target_) {
        // All voters reply again and there is one too many: the one with the highest number is
        // removed.
        for (auto voter = voters.rbegin(); voter != voters.rend(); ++voter)
            if (*voter != self) {
                next.erase(*voter);
                return next;
            }
    }
    return std::nullopt;
}

} // namespace liftweir

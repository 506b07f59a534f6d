#include "process/voterselector.h"

#include "process/node.h"

#include <algorithm>

namespace liftweir {

namespace {

// A frozen or cut-off voter that comes back finds itself a spare, which costs nothing; a lost one
// has to be replaced before the next loss. Longer than a slow election or a stalled sync.
constexpr Duration SilentVoterReplaced = std::chrono::milliseconds(1500);
// A host that answered so lately may take a vote.
constexpr Duration FreshAnswer = std::chrono::milliseconds(500);

const NodeView* view_of(const std::vector<NodeView>& views, NodeId node) {
    const auto found =
        std::find_if(views.begin(), views.end(), [&](const NodeView& v) { return v.node == node; });
    return found == views.end() ? nullptr : &*found;
}

// Another data folder on the same host answers: the old one is gone for good.
bool superseded(NodeId voter, const Voters& voters, const std::vector<NodeView>& views) {
    return std::any_of(views.begin(), views.end(), [&](const NodeView& v) {
        return v.node != voter && same_host(v.node, voter) && !voters.contains(v.node) &&
               v.silent < FreshAnswer;
    });
}

} // namespace

// The new voter comes in before the lost one goes out: at no step do fewer live hosts vote.
std::optional<Voters> VoterSelector::next(NodeId self, const Voters& voters,
                                          const std::vector<NodeView>& others) const {
    NodeId lost = NoNode;
    Duration longest{};
    for (const NodeId voter : voters) {
        if (voter == self)
            continue;
        const NodeView* view = view_of(others, voter);
        const bool replaced_host = std::any_of(voters.begin(), voters.end(), [&](NodeId other) {
            return other != voter && same_host(other, voter);
        });
        const Duration silent = view == nullptr ? Duration::zero() : view->silent;
        const bool gone = silent > SilentVoterReplaced || superseded(voter, voters, others) ||
                          (replaced_host && silent > FreshAnswer);
        if (gone && (lost == NoNode || silent > longest)) {
            lost = voter;
            longest = silent;
        }
    }
    NodeId spare = NoNode;
    for (const NodeView& view : others)
        if (!voters.contains(view.node) && view.caught_up && view.silent < FreshAnswer)
            spare = view.node;

    Voters next = voters;
    if (voters.size() > target_ && lost != NoNode) {
        next.erase(lost);
        return next;
    }
    const bool wants_more = voters.size() < target_ || (voters.size() == target_ && lost != NoNode);
    if (wants_more && spare != NoNode) {
        next.insert(spare);
        return next;
    }
    if (voters.size() > target_) {
        // Everybody is back: the vote given last goes.
        for (auto voter = voters.rbegin(); voter != voters.rend(); ++voter)
            if (*voter != self) {
                next.erase(*voter);
                return next;
            }
    }
    return std::nullopt;
}

} // namespace liftweir

// Chooses which control hosts vote in the replicated log.
// Runs in liftweir-site-control.

#ifndef VOTERSELECTOR_H_INCLUDED
#define VOTERSELECTOR_H_INCLUDED

#include "process/raft.h"

#include <optional>
#include <vector>

namespace liftweir {

// What the leader knows about one control host, voter or not.
struct NodeView {
    NodeId node = NoNode;
    bool caught_up = false; // has all committed entries
    Duration silent{};      // since its last reply

    auto operator<=>(const NodeView&) const = default;
};

// Chooses the next change of voters, one host at a time, so that 2f+1 hosts vote, of which f may
// fail. Has no side effects: the leader proposes the set that it returns.
class VoterSelector {
  public:
    explicit VoterSelector(std::size_t target) : target_(target) {}

    std::size_t target() const { return target_; }
    // Returns the next set of voters, or nullopt where the present set needs no change.
    std::optional<Voters> next(NodeId self, const Voters& voters,
                               const std::vector<NodeView>& others) const;

  private:
    std::size_t target_;
};

} // namespace liftweir

#endif // VOTERSELECTOR_H_INCLUDED

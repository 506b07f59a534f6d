#ifndef VOTERSELECTOR_H_INCLUDED
#define VOTERSELECTOR_H_INCLUDED

#include "process/raft.h"

#include <optional>
#include <vector>

namespace liftweir {

// What the leader knows of one control host, voter or not.
struct NodeView {
    NodeId node = NoNode;
    bool caught_up = false; // holds everything that is committed
    Duration silent{};      // since its last answer

    auto operator<=>(const NodeView&) const = default;
};

// Chooses the next change of voters, one host at a time, so that 2f+1 hosts vote of which f may
// be lost. Pure: the leader proposes what it returns.
class VoterSelector {
  public:
    explicit VoterSelector(std::size_t target) : target_(target) {}

    std::size_t target() const { return target_; }
    // The next set of voters, or nothing where the present one is as good as it can be.
    std::optional<Voters> next(NodeId self, const Voters& voters,
                               const std::vector<NodeView>& others) const;

  private:
    std::size_t target_;
};

} // namespace liftweir

#endif // VOTERSELECTOR_H_INCLUDED

#ifndef ENTRYLOADTABLE_H_INCLUDED
#define ENTRYLOADTABLE_H_INCLUDED

#include "process/clock.h"
#include "request/groupload.h"

#include <map>
#include <string>
#include <vector>

namespace liftweir {

// Entry hosts tell control what they have under way at each group, and are told what the others
// have, this often at most.
constexpr Duration LoadReportInterval = std::chrono::milliseconds(200);

// What entry hosts have under way, as the control host that leads knows it. One host of fifty sees
// two in a hundred of the requests: by its own work alone it can not tell a group that is full from
// an idle one. Pure.
class EntryLoadTable {
  public:
    // All that the entry host has under way; what it told before is replaced.
    void tell(const std::string& entry, std::vector<GroupLoadReport> shares, Time now);
    // What all others have under way, by group.
    std::vector<GroupLoadReport> load_of_others(const std::string& entry) const;
    // Hosts that have told nothing for so long are left out.
    void expire(Time now);
    bool empty() const { return told_.empty(); }
    // How often each entry host can be told within the bytes that control may cost it.
    Duration every() const;

  private:
    struct Told {
        std::vector<GroupLoadReport> shares;
        Time when{};
    };

    std::map<std::string, Told> told_;
    std::map<Epoch, GroupLoad> all_; // sum over all hosts
};

} // namespace liftweir

#endif // ENTRYLOADTABLE_H_INCLUDED

// The load that entry hosts report to the leading control host (liftweir-site-control), which
// sends each of them the load of the others.

#ifndef ENTRYLOADTABLE_H_INCLUDED
#define ENTRYLOADTABLE_H_INCLUDED

#include "process/clock.h"
#include "request/groupload.h"

#include <map>
#include <string>
#include <vector>

namespace liftweir {

// Shortest interval between load reports, from entry hosts to control and back.
constexpr Duration LoadReportInterval = std::chrono::milliseconds(200);

// Entry hosts need the reports because one of fifty sees only 2 % of the requests: from its own
// requests it can not distinguish a full group from an idle one. Pure: no I/O and no clock of its
// own.
class EntryLoadTable {
  public:
    // Stores the entry host's load report, which replaces its previous one.
    void store(const std::string& entry, std::vector<GroupLoadReport> group_loads, Time now);
    // Load of all other entry hosts, by group.
    std::vector<GroupLoadReport> load_of_others(const std::string& entry) const;
    // Removes the reports of hosts that have sent none for some time.
    void expire(Time now);
    bool empty() const { return reports_.empty(); }
    // Interval between two reports to an entry host that keeps their size within its bandwidth.
    Duration report_interval() const;

  private:
    struct EntryLoad {
        std::vector<GroupLoadReport> group_loads;
        Time received_at{};
    };

    std::map<std::string, EntryLoad> reports_;
    std::map<Epoch, GroupLoad> total_; // sum over all hosts
};

} // namespace liftweir

#endif // ENTRYLOADTABLE_H_INCLUDED

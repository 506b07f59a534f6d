#ifndef GROUPSIMULATOR_H_INCLUDED
#define GROUPSIMULATOR_H_INCLUDED

#include "request/directory.h"
#include "request/entryloadtable.h"

#include <algorithm>
#include <list>
#include <random>
#include <vector>

namespace liftweir {

// The figures of a large engine: a pass takes 40 ms with 15 writers and up to 230 ms while it
// reads.
EngineCost simulated_engine();

// A kind of request of the played load.
struct SimulatedRequestKind {
    double per_second = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t events = 1;
};

// What the callers of one kind got.
struct SimulatedResult {
    int asked = 0;
    int in_time = 0; // first event within its goal, and no pause beyond its goal
    int late = 0;
    int refused = 0;

    double in_time_part() const { return static_cast<double>(in_time) / std::max(1, asked); }
    double refused_part() const { return static_cast<double>(refused) / std::max(1, asked); }
};

// Plays callers against groups in virtual time. The engines follow their cost figures; the entry
// hosts are real directories, which choose a group, refuse, or notice that one stands still, each
// knowing only its own part. A caller that is refused returns once. What a lost group had goes on
// elsewhere, as soon as a group takes it, if its caller has not left by then.
class GroupSimulator {
  public:
    GroupSimulator(EngineCost engine, int groups, int hosts, std::uint64_t seed);

    // Entry hosts are told what the others have under way, as control does it.
    void exchange_shares() { tells_of_others_ = true; }

    // Plays so long; a group is lost at each of the times, and another one serves `repair` later.
    std::vector<SimulatedResult> play(const std::vector<SimulatedRequestKind>& kinds, Duration goal,
                                      Duration pause_goal, Duration length,
                                      const std::vector<Duration>& losses, Duration repair);

  private:
    struct Request {
        std::size_t kind = 0;
        std::size_t host = 0;
        EngineDemand demand;
        std::uint32_t unread = 0;
        std::uint32_t events_left = 0;
        Time asked{};
        Time last{};    // event, or the first try
        Time returns{}; // after a refusal
        bool returned = false;
        bool begun = false;   // its caller has the first event
        bool writing = false; // at its present group
        bool late = false;
    };

    struct Group {
        EndpointId lead;
        Time pass_ends{};
        bool lost = false;
        std::list<Request> requests; // in the order in which they came
    };

    void open_group(Time now);
    void lose_group();
    void replace_group(Time now);
    void ask(std::size_t kind, Time now);
    bool send(Request request, Time now);
    void refuse(Request request, Time now);
    void leave_stalled(Time now);
    void leave_group(Group& group, std::size_t host, Time now);
    void resume_waiting(Time now);
    void take_returning(Time now);
    void tell_shares(Time now);
    void step(Group& group, Time now);
    double start_pass(Group& group);
    void end_pass(Group& group, Time now);
    void finish(const Group& group, const Request& request);

    EngineCost engine_;
    Service service_;
    std::vector<Directory> hosts_;
    std::list<Group> groups_;
    std::list<Request> waiting_;   // begun streams of groups that were lost
    std::list<Request> returning_; // refused once
    std::minstd_rand random_;
    bool tells_of_others_ = false;
    EntryLoadTable board_;
    Duration goal_{};
    Duration pause_goal_{};
    std::vector<SimulatedRequestKind> kinds_;
    std::vector<SimulatedResult> results_; // by kind
    Epoch next_epoch_ = 1;
};

} // namespace liftweir

#endif // GROUPSIMULATOR_H_INCLUDED

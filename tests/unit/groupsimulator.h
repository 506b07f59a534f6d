// A simulation of callers, entry hosts and groups, for tests of overload and of lost groups.

#ifndef GROUPSIMULATOR_H_INCLUDED
#define GROUPSIMULATOR_H_INCLUDED

#include "request/directory.h"
#include "request/entryloadtable.h"
#include "request/loadshare.h"

#include <algorithm>
#include <list>
#include <random>
#include <vector>

namespace liftweir {

// The cost model of a large engine: a pass takes 40 ms while 15 requests decode, and up to 230 ms
// while it prefills prompts.
EngineCost simulated_engine();

// A kind of request of the simulated load.
struct SimulatedRequestKind {
    double per_second = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t events = 1;
};

// Counts of the requests of one kind by outcome.
struct SimulatedResult {
    int asked = 0;
    int in_time = 0; // first event and every pause between events within their goals
    int late = 0;
    int refused = 0;
    int returned = 0;         // callers that retried after a rejection
    int served_on_return = 0; // of these

    int served_at_first() const { return in_time + late - served_on_return; }
    double in_time_part() const { return static_cast<double>(in_time) / std::max(1, asked); }
    double refused_part() const { return static_cast<double>(refused) / std::max(1, asked); }
};

// Simulates callers and groups in virtual time. The engines follow their cost model. The entry
// hosts use the real Directory, which chooses a group, rejects a request, or detects a stalled
// group, each from its own requests only. A rejected caller retries once. Requests of a lost group
// continue at another group as soon as one accepts them, unless their caller has given up by then.
class GroupSimulator {
  public:
    GroupSimulator(EngineCost engine, int groups, int hosts, std::uint64_t seed);

    // Sends each entry host the load of the others, as the control host does.
    void exchange_shares() { exchanges_shares_ = true; }

    // Callers have this time limit and return at the time that they are told.
    void book_retries(Duration time_limit) { time_limit_ = time_limit; }

    // Simulates `length`. At each time in `losses` a group is lost; another one serves `repair`
    // later.
    std::vector<SimulatedResult> simulate(const std::vector<SimulatedRequestKind>& kinds,
                                          Duration goal, Duration pause_goal, Duration length,
                                          const std::vector<Duration>& losses, Duration repair);
    // The entry hosts learn their shares of the load as by renewals at five control hosts.
    void update_load_shares() {
        shares_.resize(hosts_.size());
        in_flight_.resize(hosts_.size());
    }
    // From this time on all callers reach the first entry host.
    void send_all_to_one_host(Duration begin) { one_host_from_ = begin; }
    // Only requests that arrive in this period are counted.
    void count_requests(Duration begin, Duration end) { counted_ = {begin, end}; }

    // In this period the load is multiplied by the factor.
    void add_burst(Duration begin, Duration end, double factor) { burst_ = {begin, end, factor}; }

  private:
    struct Request {
        std::size_t kind = 0;
        std::size_t host = 0;
        EngineDemand demand;
        std::uint32_t prefill_left = 0;
        std::uint32_t events_left = 0;
        Time asked{};
        Time last{};     // time of the last event, or of the first attempt
        Time retry_at{}; // time of the retry after a rejection
        bool retried = false;
        CallerReturn caller = CallerReturn::New;
        bool started = false;  // its caller has received the first event
        bool decoding = false; // at its present group
        bool late = false;
        bool given_up = false; // its caller left before the first event
    };

    struct Period {
        Duration begin{};
        Duration end{};
    };

    struct Burst {
        Duration begin{};
        Duration end{};
        double factor = 1;
    };

    struct Group {
        EndpointId lead;
        Time pass_ends{};
        bool lost = false;
        std::list<Request> requests; // in the order of their arrival
    };

    void open_group(Time now);
    void lose_group();
    void replace_group(Time now);
    void ask(std::size_t kind, Time now);
    bool send(Request request, Time now);
    void refuse(Request request, Time now);
    Duration retry_delay(const Request& request, Time now);
    Demand demand_of(const Request& request, Time now) const;
    void leave_stalled_groups(Time now);
    void move_requests(Group& group, std::size_t host, Time now);
    void resume_waiting(Time now);
    void retry_refused(Time now);
    void report_load(Time now);
    void renew_load_shares();
    SimulatedResult& result_of(const Request& request);
    void step(Group& group, Time now);
    double start_pass(Group& group);
    void end_pass(Group& group, Time now);
    void finish(const Group& group, const Request& request);

    EngineCost engine_;
    Service service_;
    std::vector<Directory> hosts_;
    std::list<Group> groups_;
    std::list<Request> waiting_; // started streams of lost groups
    std::list<Request> refused_; // rejected once, to be retried
    std::minstd_rand random_;
    bool exchanges_shares_ = false;
    std::vector<LoadShare> shares_;        // by entry host; empty: the hosts know their shares
    std::vector<std::uint32_t> in_flight_; // by entry host, at its last renewal
    Duration one_host_from_ = Duration::max();
    Period counted_{Duration::zero(), Duration::max()};
    SimulatedResult not_counted_;
    EntryLoadTable load_table_;
    Duration goal_{};
    Duration pause_goal_{};
    Duration time_limit_{}; // zero: rejected callers return after a fixed time
    Burst burst_;
    std::vector<SimulatedRequestKind> kinds_;
    std::vector<SimulatedResult> results_; // by kind
    Epoch next_epoch_ = 1;
};

} // namespace liftweir

#endif // GROUPSIMULATOR_H_INCLUDED

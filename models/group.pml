/* Group epochs, release and gate, with delayed messages and agent restarts.
 *
 * Three hosts; every group has two of them, the first one leads. An order, once sent, may be
 * received at any later time. A ping reply is received at any time after its ping was sent; what
 * counts is the age of the ping. Time is kept as ages that stop at OLD, so it is not bounded.
 *
 * Mutations: NO_OPENING_WAIT, ECHO_RECEIPT, NO_RELEASE, ECHO_ANYTHING, LAST_GROUP_ONLY.
 */
#define HOSTS 3
#ifndef EPOCHS
#define EPOCHS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define T 2                     /* echo timeout in ticks */
#define OLD T                   /* all ages of T or more are equivalent */

#define NOTHING 0
#define SENT 1
#define ECHOED 2

typedef Group { bool formed; bool over; byte lead; byte other; byte lead_inc; byte other_inc;
                bool waits }     /* the lead of a member's previous group has not released it */
typedef Host {
    byte inc; byte held; byte fence;
    byte held_age;
    byte left_age;              /* since the host last left a group */
    byte proof;                 /* as lead: age of the newest ping with a reply */
    byte stage; byte ping_age
}
typedef Seen { byte inc; byte bound; bool left[EPOCHS + 1] }  /* as recorded by control */

Group group[EPOCHS + 1];
Host host[HOSTS];
Seen seen[HOSTS];
byte last_epoch;
byte restarts;

#define LEADS(x) (host[x].held != 0 && group[host[x].held].lead == x)
#ifdef NO_OPENING_WAIT
#define OPEN(x) (LEADS(x) && host[x].proof < T)
#else
#define OPEN(x) (LEADS(x) && host[x].proof < T && \
                 (!group[host[x].held].waits || host[x].held_age >= T))
#endif

/* State::may_be_open: the gate of a group that the host left may still be open */
#define STILL_BOUND(x, g) (seen[x].left[g] && seen[group[g].lead].bound == g)
#ifdef LAST_GROUP_ONLY
#define MAY_BE_OPEN(x) ((seen[x].left[2] && STILL_BOUND(x, 2)) || \
                        (!seen[x].left[2] && STILL_BOUND(x, 1)))
#else
#define MAY_BE_OPEN(x) (STILL_BOUND(x, 1) || STILL_BOUND(x, 2))
#endif

inline older(v) { if :: v < OLD -> v++ :: else fi }

inline drop(q) {
    if :: host[q].held != 0 -> host[q].left_age = 0 :: else fi;
    host[q].held = 0; host[q].held_age = 0; host[q].proof = OLD; host[q].stage = NOTHING;
    host[q].ping_age = 0
}

/* No group serves for longer than the echo timeout while a member is missing, and no two open
 * groups share a host. */
inline check() {
    a = 0;
    do :: a < HOSTS ->
        if :: OPEN(a) ->
            e = host[a].held; b = group[e].other;
            assert((host[b].held == e && host[b].inc == group[e].other_inc) || host[b].left_age < T);
            c = 0;
            do :: c < HOSTS ->
                if :: c != a && OPEN(c) ->
                    assert(c != b && group[host[c].held].other != b && group[host[c].held].other != a)
                   :: else fi;
                c++
               :: else -> break od
           :: else fi;
        a++
       :: else -> break od;
    a = 0; b = 0; c = 0; e = 0
}

active proctype world() {
    byte x, y, g, a, b, c, e;
    atomic { x = 0;
        do :: x < HOSTS -> host[x].inc = 1; seen[x].inc = 1; host[x].proof = OLD;
                           host[x].left_age = OLD; x++
           :: else -> break od; x = 0 }
end:
    do
    /* one tick */
    :: atomic { true -> x = 0;
        do :: x < HOSTS -> older(host[x].left_age); older(host[x].proof);
                if :: host[x].held != 0 -> older(host[x].held_age) :: else fi;
                if :: host[x].stage != NOTHING -> older(host[x].ping_age) :: else fi; x++
           :: else -> break od; x = 0; check() }
    /* State::on(FormGroup) */
    :: atomic { last_epoch < EPOCHS -> select(x : 0 .. 2); select(y : 0 .. 2);
        if :: x != y && seen[x].bound == 0 && seen[y].bound == 0 ->
            last_epoch++; g = last_epoch;
            group[g].formed = true; group[g].lead = x; group[g].other = y;
            group[g].lead_inc = seen[x].inc; group[g].other_inc = seen[y].inc;
            group[g].waits = MAY_BE_OPEN(x) || MAY_BE_OPEN(y);
            seen[x].bound = g; seen[y].bound = g
           :: else fi; x = 0; y = 0; g = 0 }
    /* State::on(DissolveGroup) */
    :: atomic { select(g : 1 .. EPOCHS);
        if :: group[g].formed && !group[g].over -> group[g].over = true;
#ifdef NO_RELEASE
            if :: seen[group[g].lead].bound == g -> seen[group[g].lead].bound = 0;
                    seen[group[g].lead].left[g] = true :: else fi;
            if :: seen[group[g].other].bound == g -> seen[group[g].other].bound = 0;
                    seen[group[g].other].left[g] = true :: else fi
#endif
           :: else fi; g = 0 }
    /* Agent::hold: an order for any group ever formed may be received now */
    :: atomic { select(x : 0 .. 2); select(g : 1 .. EPOCHS);
        if :: group[g].formed && g > host[x].held && g > host[x].fence &&
              ((group[g].lead == x && group[g].lead_inc == host[x].inc) ||
               (group[g].other == x && group[g].other_inc == host[x].inc)) ->
            drop(x); host[x].held = g
           :: else fi; x = 0; g = 0; check() }
    /* Agent::drop_group */
    :: atomic { select(x : 0 .. 2); g = seen[x].bound;
        if :: g != 0 && group[g].over && seen[x].inc == host[x].inc && host[x].fence < g ->
            if :: host[x].held != 0 -> drop(x) :: else fi;
            host[x].fence = g
           :: else fi; x = 0; g = 0; check() }
    /* PlacementPlanner::acknowledge_releases, State::on(ReleaseHost) */
    :: atomic { select(x : 0 .. 2); g = seen[x].bound;
        if :: g != 0 && group[g].over && seen[x].inc == host[x].inc && host[x].held == 0 &&
              host[x].fence >= g -> seen[x].bound = 0; seen[x].left[g] = true
           :: else fi; x = 0; g = 0 }
    /* restart of an agent: a new incarnation holds nothing */
    :: atomic { select(x : 0 .. 2);
        if :: restarts < RESTARTS ->
            restarts++; drop(x); host[x].inc++; host[x].fence = 0
           :: else fi; x = 0; check() }
    /* State::on(RegisterHost) */
    :: atomic { select(x : 0 .. 2);
        if :: seen[x].inc != host[x].inc ->
            seen[x].inc = host[x].inc;
            if :: seen[x].bound != 0 -> group[seen[x].bound].over = true; seen[x].left[seen[x].bound] = true;
                    seen[x].bound = 0
               :: else fi
           :: else fi; x = 0 }
    /* Gate::due_pings */
    :: atomic { select(x : 0 .. 2);
        if :: LEADS(x) -> host[x].stage = SENT; host[x].ping_age = 0 :: else fi; x = 0 }
    /* Gate::answer: a member replies only for the group that it holds */
    :: atomic { select(x : 0 .. 2); g = host[x].held;
        if :: host[x].stage == SENT && LEADS(x) -> b = group[g].other;
#ifdef ECHO_ANYTHING
            host[x].stage = ECHOED
#else
            if :: host[b].held == g && host[b].inc == group[g].other_inc -> host[x].stage = ECHOED
               :: else fi
#endif
           :: else fi; x = 0; g = 0; b = 0 }
    /* Gate::on_ping_reply */
    :: atomic { select(x : 0 .. 2);
        if :: host[x].stage == ECHOED ->
#ifdef ECHO_RECEIPT
            host[x].proof = 0;
#else
            if :: host[x].ping_age < host[x].proof -> host[x].proof = host[x].ping_age :: else fi;
#endif
            host[x].stage = NOTHING; host[x].ping_age = 0
           :: else fi; x = 0; check() }
    od
}

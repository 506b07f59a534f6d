/* Takeover by a new leader while the previous one still believes that it leads: no endpoint may be
 * taken from a group that serves.
 *
 * There are two endpoints: 0 leads every group and 1 is a member. The leader of term 1 forms a
 * group and does not notice that it is no longer leader; the leader of term 2 plans with the same
 * endpoints. Orders and their responses are delivered at any time, or never; an endpoint rejects a
 * fence lower than the highest it has seen. One group of each term suffices: g1 is the first
 * leader's, g2 the second's, and g2 is ordered only when the rule says that its endpoints are free.
 * State reports are not modelled: the rule uses only responses to orders, so it holds for reports
 * of any age.
 *
 * Mutations: ORDER_FIRST (orders are sent before the log has the group), MEMBER_FIRST (the member
 * of an earlier group gets an order before its lead has responded), ADOPT (the second leader opens
 * the group that the first one formed), NO_FENCE (endpoints accept orders of any term).
 */
#define NONE 0

byte group[2] = NONE;   /* the group of each endpoint: none, 1 or 2 */
byte fence[2] = NONE;   /* the highest term of the orders that each endpoint has received */
bool open1 = false, open2 = false;
bool logged1 = false;   /* g1 is committed */
bool elected = false;   /* term 2 has begun, and its leader has read the log */
bool knows1 = false;    /* the second leader found g1 in the log */
bool lead_out = false;  /* the lead of g1 has responded to an order to leave */
bool ready[2] = false;  /* as known to the first leader: the endpoint has joined g1 */
bool ready2[2] = false; /* as known to the second leader: the endpoint has joined g2 */
bool sent1[2] = false, sent_open1 = false;
bool sent_leave = false, sent2[2] = false, sent_open2 = false;
bool adopted = false;

#ifdef NO_FENCE
#define TAKES(e, term) true
#else
#define TAKES(e, term) (fence[e] <= term)
#endif

inline see(e, term) { if :: fence[e] < term -> fence[e] = term :: else fi }

/* the checked rule: no endpoint of a group joins another while the lead of that group serves */
inline join(e, g) {
    assert(!(group[e] == 1 && g != 1 && group[0] == 1 && open1));
    if :: group[e] != g && e == 0 && group[e] == 1 -> open1 = false :: else fi;
    group[e] = g
}

proctype first() {
    do
    :: atomic { !elected && !logged1 -> logged1 = true } /* GroupPlanner::take_changes, committed */
#ifdef ORDER_FIRST
    :: atomic { !sent1[0] -> sent1[0] = true }
    :: atomic { !sent1[1] -> sent1[1] = true }
#else
    :: atomic { logged1 && !sent1[0] -> sent1[0] = true } /* GroupPlanner::recorded */
    :: atomic { logged1 && !sent1[1] -> sent1[1] = true }
#endif
    :: atomic { ready[0] && ready[1] && !sent_open1 -> sent_open1 = true }
    :: break
    od
}

proctype second() {
    atomic { elected = true; knows1 = logged1 }
    do
    :: atomic { knows1 && !sent_leave && !adopted -> sent_leave = true } /* advance_dead */
#ifdef ADOPT
    :: atomic { knows1 && group[0] == 1 && group[1] == 1 && !sent_leave -> adopted = true; open1 = true; knows1 = false }
    /* the first leader dissolves the group and orders its member to join another one */
    :: atomic { adopted && TAKES(1, 1) -> see(1, 1); join(1, 3) }
#endif
#ifdef MEMBER_FIRST
    :: atomic { !adopted && !sent2[1] -> sent2[1] = true }
#else
    :: atomic { !adopted && (!knows1 || lead_out) && !sent2[1] -> sent2[1] = true }
#endif
    :: atomic { !adopted && (!knows1 || lead_out) && !sent2[0] -> sent2[0] = true }
    :: atomic { ready2[0] && ready2[1] && !sent_open2 -> sent_open2 = true }
    :: break
    od
}

/* the network and the endpoints: each order is delivered once, at any time after it was sent */
proctype endpoints() {
    bool did[2], did_open, did_leave, did2[2], did_open2;
    byte e;
    do
    :: atomic { select(e : 0 .. 1);
        if :: sent1[e] && !did[e] ->
                did[e] = true;
                if :: TAKES(e, 1) && group[e] != 2 -> see(e, 1); join(e, 1); ready[e] = true
                   :: else fi
           :: else fi }
    :: atomic { sent_open1 && !did_open -> did_open = true;
        if :: TAKES(0, 1) -> see(0, 1); if :: group[0] == 1 -> open1 = true :: else fi
           :: else fi }
    :: atomic { sent_leave && !did_leave -> did_leave = true; see(0, 2);
        if :: group[0] == 1 -> group[0] = NONE; open1 = false :: else fi;
        lead_out = true }
    :: atomic { select(e : 0 .. 1);
        if :: sent2[e] && !did2[e] ->
                did2[e] = true; see(e, 2); join(e, 2); ready2[e] = true
           :: else fi }
    :: atomic { sent_open2 && !did_open2 -> did_open2 = true; see(0, 2);
        if :: group[0] == 2 -> open2 = true :: else fi }
    :: break
    od
}

init { atomic { run first(); run second(); run endpoints() } }

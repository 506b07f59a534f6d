/* Voters that lose their disks and come back, and when a change may be acknowledged.
 *
 * Five hosts; a data folder is a node of its own. One change travels from the leader to others;
 * what matters is which folders hold it on disk when it is acknowledged, and whether, after up to
 * F further lost disks, every majority of the voters that can still answer holds it, and one such
 * majority exists. Elections are the model `log`; here a majority stands for the next leader.
 *
 * Mutations: SAME_NUMBER (a wiped host votes under its old number), ACK_EARLY (a majority of the
 * first three voters is enough to acknowledge), JOIN_EMPTY (a new voter need not be caught up).
 */
#define HOSTS 5
#define F 2
#define ALL 31

byte member = 7;        /* hosts whose present folder votes: three founders */
byte ghost = 0;         /* hosts with an old, lost folder that is still counted as a voter */
byte holds = 0;         /* hosts whose present folder holds the change on disk */
byte wiped = 0;         /* disks lost and not yet made good */
bool acked = false;
byte h, n, m, v, q;

#define BIT(x) (1 << (x))
#define HAS(set, x) (((set) >> (x)) & 1)
#ifdef JOIN_EMPTY
#define CAUGHT_UP(x) true
#else
#define CAUGHT_UP(x) (!acked || HAS(holds, x))
#endif

inline count(set, out) {
    out = HAS(set, 0) + HAS(set, 1) + HAS(set, 2) + HAS(set, 3) + HAS(set, 4)
}

/* voters on the list, whether they answer or not */
inline voters(out) { count(member, out); count(ghost, m); out = out + m; m = 0 }

init {
    do
    /* Raft::on(AppendRequest): a voter or a learner syncs the change; the leader is any holder */
    :: atomic { select(h : 0 .. 4); holds = holds | BIT(h) }
    /* Coordinator::durable */
    :: atomic { !acked ->
        voters(v); count(member & holds, n);
#ifdef ACK_EARLY
        if :: n * 2 > v -> acked = true
           :: else fi;
#else
        if :: n >= F + 1 && n * 2 > v && v >= 2 * F + 1 -> acked = true :: else fi;
#endif
        v = 0; n = 0 }
    /* VoterKeeper::next: add one voter; needs a majority of the voters to answer */
    :: atomic { select(h : 0 .. 4);
        voters(v); count(member, n);
        if :: !HAS(member, h) && n * 2 > v && v <= 5 && CAUGHT_UP(h) ->
                member = member | BIT(h)
           :: else fi; v = 0; n = 0 }
    /* VoterKeeper::next: remove one lost voter; with that the loss is made good, well within the
     * time that a host that came back still counts as lost */
    :: atomic { select(h : 0 .. 4);
        voters(v); count(member, n);
        if :: HAS(ghost, h) && v > 5 && n * 2 > v ->
                ghost = ghost & (ALL - BIT(h));
                wiped = wiped & (ALL - BIT(h))
           :: else fi; v = 0; n = 0 }
    /* a disk is lost; as many at a time as the tolerance says */
    :: atomic { select(h : 0 .. 4); count(wiped, n);
        if :: acked && n < F && HAS(member, h) && !HAS(wiped, h) ->
                wiped = wiped | BIT(h);
                holds = holds & (ALL - BIT(h));
#ifndef SAME_NUMBER
                member = member & (ALL - BIT(h));
                ghost = ghost | BIT(h)
#endif
           :: else fi; n = 0 }
    /* the next leader: some majority answers, and none without the change */
    :: atomic { acked ->
        voters(v); count(member, n);
        assert(n * 2 > v);
        count(member & (ALL - holds), q);
        assert(q * 2 <= v);
        v = 0; n = 0; q = 0 }
    od
}

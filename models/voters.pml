/* Voters that lose their disks and restart, and the point at which a change may be acknowledged.
 *
 * Five hosts; each data directory is a node of its own. One change is replicated by the leader. The
 * model follows which directories hold it on disk when it is acknowledged, and whether, after up to
 * F further lost disks, a majority of the voters can still respond and every such majority holds
 * the change. Elections are in the model `log`; here a majority stands for the next leader.
 *
 * Mutations: SAME_NUMBER (a wiped host votes under its old node id), ACK_EARLY (a majority of the
 * first three voters suffices to acknowledge), JOIN_EMPTY (a new voter need not be caught up).
 */
#define HOSTS 5
#define F 2
#define ALL 31

byte member = 7;        /* hosts whose current directory is a voter; at first three */
byte ghost = 0;         /* hosts with a lost directory that still counts as a voter */
byte holds = 0;         /* hosts whose current directory holds the change on disk */
byte wiped = 0;         /* hosts whose lost disk has not been replaced as a voter yet */
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

/* number of configured voters, whether they respond or not */
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
    /* VoterSelector::next: add one voter; a majority of the voters must respond */
    :: atomic { select(h : 0 .. 4);
        voters(v); count(member, n);
        if :: !HAS(member, h) && n * 2 > v && v <= 5 && CAUGHT_UP(h) ->
                member = member | BIT(h)
           :: else fi; v = 0; n = 0 }
    /* VoterSelector::next: remove one lost voter. This repairs the loss, well within the time for
     * which a restarted host still counts as lost. */
    :: atomic { select(h : 0 .. 4);
        voters(v); count(member, n);
        if :: HAS(ghost, h) && v > 5 && n * 2 > v ->
                ghost = ghost & (ALL - BIT(h));
                wiped = wiped & (ALL - BIT(h))
           :: else fi; v = 0; n = 0 }
    /* a disk is lost; at most F at a time */
    :: atomic { select(h : 0 .. 4); count(wiped, n);
        if :: acked && n < F && HAS(member, h) && !HAS(wiped, h) ->
                wiped = wiped | BIT(h);
                holds = holds & (ALL - BIT(h));
#ifndef SAME_NUMBER
                member = member & (ALL - BIT(h));
                ghost = ghost | BIT(h)
#endif
           :: else fi; n = 0 }
    /* the next leader: a majority responds, and every majority has the change */
    :: atomic { acked ->
        voters(v); count(member, n);
        assert(n * 2 > v);
        count(member & (ALL - holds), q);
        assert(q * 2 <= v);
        v = 0; n = 0; q = 0 }
    od
}

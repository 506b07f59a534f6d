/* Election, log and commit with crash and restart.
 *
 * Messages are not kept in channels. The log of a leader only grows within its term, so every
 * append that it ever sent is a prefix of `sent`; a vote request never changes within a term. Any
 * message may be received at any later time, any number of times, or never: that covers delay,
 * loss, reordering and duplication.
 *
 * Mutations: VOTE_AMNESIA, OLD_TERM_COMMIT, NO_LOG_CHECK, ACK_BEFORE_SYNC.
 */
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LENGTH
#define LENGTH 2
#endif
#define NODES 3
#ifndef CANDIDATES
#define CANDIDATES 3            /* nodes that may stand for election */
#endif
#define MAJORITY(n) ((n) >= 2)
#define NONE 0
#define ID(n) ((n) + 1)
#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

typedef Node {
    byte term; byte voted; byte role; byte commit;
    byte size; byte log[3];   /* log[i]: term of entry i+1 */
    byte unsynced            /* last entries, which a crash loses; only with ACK_BEFORE_SYNC */
}
typedef Sent { byte size; byte log[3]; byte by; byte ack[NODES]; bool leads }
typedef Ask { bool made; byte size; byte last; bool granted[NODES] }
typedef Asks { Ask from[NODES] }

Node node[NODES];
Sent sent[5];            /* by term */
Asks asks[5];            /* by term, then candidate */
byte committed[3];       /* term of the entry committed at an index; 0: none */

#define LAST(n) (node[n].size == 0 -> 0 : node[n].log[node[n].size - 1])

#ifdef NO_LOG_CHECK
#define UP_TO_DATE true
#else
#define UP_TO_DATE (asks[t].from[c].last > LAST(me) || \
                    (asks[t].from[c].last == LAST(me) && asks[t].from[c].size >= node[me].size))
#endif
#ifdef OLD_TERM_COMMIT
#define OWN_TERM true
#else
#define OWN_TERM (node[me].log[k - 1] == t)
#endif

inline adopt() {
    if :: t > node[me].term -> node[me].term = t; node[me].voted = NONE; node[me].role = FOLLOWER
       :: else fi
}

inline mark_committed() {
    k = 0;
    do :: k < node[me].commit ->
            assert(committed[k] == 0 || committed[k] == node[me].log[k]);
            committed[k] = node[me].log[k]; k++
       :: else -> break od;
    k = 0
}

active [NODES] proctype machine() {
    byte me, t, c, k, n, prev;
    me = _pid;
end:
    do
    /* Raft::start_election */
    :: atomic { me < CANDIDATES && node[me].role != LEADER && node[me].term < TERMS ->
        node[me].term++; node[me].voted = ID(me); node[me].role = CANDIDATE;
        asks[node[me].term].from[me].made = true;
        asks[node[me].term].from[me].size = node[me].size;
        asks[node[me].term].from[me].last = LAST(me);
        asks[node[me].term].from[me].granted[me] = true }
    /* Raft::on(VoteRequest) */
    :: atomic { select(t : 1 .. TERMS); select(c : 0 .. 2);
        if :: c != me && asks[t].from[c].made && t >= node[me].term ->
            adopt();
            if :: (node[me].voted == NONE || node[me].voted == ID(c)) &&
                  node[me].role == FOLLOWER && UP_TO_DATE -> node[me].voted = ID(c); asks[t].from[c].granted[me] = true
               :: else fi
           :: else fi; t = 0; c = 0 }
    /* Raft::maybe_win, Raft::become_leader */
    :: atomic { node[me].role == CANDIDATE ->
        n = 0; t = node[me].term;
        if :: asks[t].from[me].granted[0] -> n++ :: else fi;
        if :: asks[t].from[me].granted[1] -> n++ :: else fi;
        if :: asks[t].from[me].granted[2] -> n++ :: else fi;
        if :: MAJORITY(n) ->
            assert(!sent[t].leads);          /* at most one leader in a term */
            sent[t].leads = true; sent[t].by = me; node[me].role = LEADER;
            sent[t].size = node[me].size; k = 0;
            do :: k < node[me].size -> sent[t].log[k] = node[me].log[k]; k++ :: else -> break od;
            sent[t].ack[me] = node[me].size
           :: else fi; n = 0; t = 0; k = 0 }
    /* Raft::propose */
    :: atomic { node[me].role == LEADER && node[me].size < LENGTH ->
        t = node[me].term;
        node[me].log[node[me].size] = t; node[me].size++;
        sent[t].log[sent[t].size] = t; sent[t].size++;
        sent[t].ack[me] = node[me].size; t = 0 }
    /* Raft::on(AppendRequest): one entry, or none as a heartbeat */
    :: atomic { select(t : 1 .. TERMS); select(prev : 0 .. LENGTH);
        if :: sent[t].leads && sent[t].by != me && t >= node[me].term && prev <= sent[t].size ->
            adopt(); node[me].role = FOLLOWER;
            if :: prev <= node[me].size && (prev == 0 || node[me].log[prev - 1] == sent[t].log[prev - 1]) ->
                if :: prev < sent[t].size ->
                    if :: prev < node[me].size && node[me].log[prev] == sent[t].log[prev] -> skip
                       :: else ->
                            assert(prev >= node[me].commit);  /* truncates no committed entry */
                            node[me].log[prev] = sent[t].log[prev]; node[me].size = prev + 1;
                            k = prev + 1;
                            do :: k < 3 -> node[me].log[k] = 0; k++ :: else -> break od; k = 0;
#ifdef ACK_BEFORE_SYNC
                            node[me].unsynced = 1
#endif
                       fi;
                    prev++
                   :: else fi;
                if :: prev > sent[t].ack[me] -> sent[t].ack[me] = prev :: else fi
               :: else fi
           :: else fi; t = 0; prev = 0 }
#ifdef ACK_BEFORE_SYNC
    :: atomic { node[me].unsynced > 0 -> node[me].unsynced = 0 }
#endif
    /* Raft::advance_commit */
    :: atomic { node[me].role == LEADER && node[me].commit < node[me].size ->
        t = node[me].term; k = node[me].commit + 1;
        do :: k <= node[me].size ->
            n = 0;
            if :: sent[t].ack[0] >= k -> n++ :: else fi;
            if :: sent[t].ack[1] >= k -> n++ :: else fi;
            if :: sent[t].ack[2] >= k -> n++ :: else fi;
            if :: MAJORITY(n) && OWN_TERM -> node[me].commit = k
               :: else fi;
            k++
           :: else -> break od;
        mark_committed(); t = 0; n = 0 }
#ifndef NO_CRASH
    /* crash and restart: synced entries are read back, all others are lost */
    :: atomic { node[me].role != FOLLOWER || node[me].commit > 0 || node[me].unsynced > 0 ||
                node[me].voted != NONE ->
        node[me].role = FOLLOWER; node[me].commit = 0;
        node[me].size = node[me].size - node[me].unsynced;
        if :: node[me].unsynced > 0 -> node[me].log[node[me].size] = 0 :: else fi;
        node[me].unsynced = 0;
#ifdef VOTE_AMNESIA
        node[me].voted = NONE
#endif
        }
#endif
    od
}

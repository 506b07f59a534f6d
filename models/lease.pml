/* The settings lease: a change is in force only when no entry host can act on older settings.
 *
 * Three control hosts and one entry host. A change is replicated to one log at a time and is
 * committed once a majority has it. Lease renewals and their acknowledgements may be delayed
 * without bound. Time is kept as ages that stop at OLD, so it is not bounded.
 *
 * Mutations: RECEIPT_TIME, ONE_VOUCHER, VOUCH_APPLIED, NO_WAIT.
 */
#define NODES 3
#define L 2                     /* SettingsLease and SettingsLeaseWait, in ticks */
#define OLD L                   /* all ages of L or more are equivalent */

#define NOTHING 0
#define ASKED 1
#define ANSWERED 2

typedef Control { bool logged; bool applied }
typedef Voucher { byte stage; byte age; bool said; byte proved }

Control control[NODES];
Voucher voucher[NODES];
bool committed;                 /* a majority has logged the change */
byte committed_age;
bool in_force;
bool have;                      /* the entry host has the change */
bool acknowledged;              /* the leader knows that the entry host has the change */

#define FRESH(i) (voucher[i].proved < L)
#ifdef ONE_VOUCHER
#define ENOUGH (FRESH(0) || FRESH(1) || FRESH(2))
#else
#define ENOUGH ((FRESH(0) && FRESH(1)) || (FRESH(0) && FRESH(2)) || (FRESH(1) && FRESH(2)))
#endif

/* An entry host that may admit a request must not act on settings older than those in force. */
#define CHECK assert(!ENOUGH || have || !in_force)

inline older(v) { if :: v < OLD -> v++ :: else fi }

active proctype world() {
    byte i, n;
    atomic { voucher[0].proved = OLD; voucher[1].proved = OLD; voucher[2].proved = OLD }
end:
    do
    /* one tick */
    :: atomic { true ->
        older(committed_age); i = 0;
        do :: i < NODES -> older(voucher[i].age); older(voucher[i].proved); i++ :: else -> break od;
        i = 0; CHECK }
    /* Raft::append_entry: the change reaches one log */
    :: atomic { select(i : 0 .. 2);
        if :: !control[i].logged ->
            control[i].logged = true;
            n = control[0].logged + control[1].logged + control[2].logged;
            if :: n == 2 -> committed = true; committed_age = 0 :: else fi
           :: else fi; i = 0; n = 0 }
    /* Replica::apply */
    :: atomic { select(i : 0 .. 2);
        if :: committed && control[i].logged -> control[i].applied = true :: else fi; i = 0 }
    /* LeaseHolder::renewal_sent */
    :: atomic { select(i : 0 .. 2); voucher[i].stage = ASKED; voucher[i].age = 0;
        voucher[i].said = false; i = 0 }
    /* Control::make_lease_ack */
    :: atomic { select(i : 0 .. 2);
        if :: voucher[i].stage == ASKED -> voucher[i].stage = ANSWERED;
#ifdef VOUCH_APPLIED
            voucher[i].said = control[i].applied
#else
            voucher[i].said = control[i].logged
#endif
           :: else fi; i = 0 }
    /* LeaseHolder::on_lease_ack */
    :: atomic { select(i : 0 .. 2);
        if :: voucher[i].stage == ANSWERED ->
            if :: !voucher[i].said || have ->
#ifdef RECEIPT_TIME
                voucher[i].proved = 0
#else
                if :: voucher[i].age < voucher[i].proved -> voucher[i].proved = voucher[i].age
                   :: else fi
#endif
               :: else fi;
            voucher[i].stage = NOTHING; voucher[i].age = 0; voucher[i].said = false
           :: else fi; i = 0; CHECK }
    /* TableBuilder::apply: a delta holds only applied settings */
    :: atomic { control[0].applied || control[1].applied || control[2].applied -> have = true }
    /* SettingsRollout::acknowledged */
    :: atomic { have -> acknowledged = true }
    /* SettingsRollout::reached */
    :: atomic { committed && !in_force &&
                (acknowledged
#ifdef NO_WAIT
                 || true
#else
                 || committed_age >= L
#endif
                ) -> in_force = true; CHECK }
    od
}

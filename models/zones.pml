/* Zones out of use: an entry host whose lease confirms a settings version acts on the zones of it.
 *
 * One history of documents and zone orders; each prefix of it is the state of some control host.
 * The entry host receives parts of any prefix, in any order and any number of times: a lease
 * acknowledgement brings the zones and the index of the document, a push brings the document and
 * the zones. It claims a settings version, which its lease needs.
 *
 * Mutations: PUSH_WITHOUT_ZONES, OLDER_ZONES, ZONES_ALONE.
 */
#define LENGTH 5

bool is_zone[LENGTH + 1];       /* whether the entry at this index orders a zone's use */
byte document[LENGTH + 1];      /* the state of each prefix: index of its document */
byte zones[LENGTH + 1];         /* and of its last zone order */

byte own_document, own_zones, zones_document;
byte claimed;

/* ZoneUse::take */
inline take(z, d) {
    if :: z == own_zones && d < zones_document -> zones_document = d
       :: else fi;
    if
#ifdef OLDER_ZONES
       :: z != own_zones -> own_zones = z; zones_document = d
#else
       :: z > own_zones -> own_zones = z; zones_document = d
#endif
       :: else fi
}

/* ZoneUse::settings_version */
inline claim() {
    claimed = own_document;
    if
#ifdef ZONES_ALONE
       :: own_zones > own_document -> claimed = own_zones
#else
       :: own_zones > own_document && own_document >= zones_document -> claimed = own_zones
#endif
       :: else
    fi
}

active proctype world() {
    byte n;
    /* any history: State::on(ReplaceDocument), State::on(SetZoneUse) */
    atomic { n = 1;
        do
        :: n <= LENGTH ->
            document[n] = document[n - 1]; zones[n] = zones[n - 1];
            if :: document[n] = n :: zones[n] = n; is_zone[n] = true fi;
            n++
        :: else -> break
        od }
end:
    do
    /* Gateway::on_lease_ack */
    :: atomic { select(n : 0 .. LENGTH); take(zones[n], document[n]); claim();
        assert(own_document >= document[claimed] && own_zones >= zones[claimed]); n = 0 }
    /* Gateway::on_document */
    :: atomic { select(n : 0 .. LENGTH);
#ifndef PUSH_WITHOUT_ZONES
        take(zones[n], document[n]);
#endif
        if :: document[n] > own_document -> own_document = document[n] :: else fi;
        claim();
        assert(own_document >= document[claimed] && own_zones >= zones[claimed]); n = 0 }
    od
}

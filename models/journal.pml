/* The write-ahead journal: an owner that may pause at any step, a store whose answers may be lost, and
 * two other daemons that decide about the same id while the owner may still be running.
 * A fence is bounded by an epoch; the model has one id, so `journal_closed` says whether the bound
 * has reached the epoch of this id. Ids of later epochs are not affected by it.
 *
 * Properties: the request is dispatched at most once, and nobody who was told `not_run` is wrong.
 * With -DNO_FENCE the other daemons read the journal without closing it, which must violate the
 * second property. With -DNO_DEDUPLICATION the owner forgets that it has seen the id, which must
 * violate the first. */

#define SENDS 2 /* transmissions of the same id to the owner */

bool journal_closed = false;
bool journal_has_intent = false;
bool owner_has_seen = false;
byte dispatched = 0;
bool told_not_run = false;
byte sends_left = SENDS;

/* Safety is asserted wherever one of the two facts changes. */
inline check()
{
    assert(dispatched <= 1);
    assert(!(told_not_run && dispatched > 0))
}

proctype owner()
{
    bool is_written;
    bool is_answer_lost;

    do
    :: sends_left > 0 ->
        sends_left--;
#ifndef NO_DEDUPLICATION
        if
        :: owner_has_seen -> goto next
        :: else -> owner_has_seen = true
        fi;
#endif
        /* Conditional update of the journal: one atomic step of the store. */
        atomic {
            if
            :: journal_closed -> is_written = false
            :: else -> journal_has_intent = true; is_written = true
            fi;
            if
            :: is_answer_lost = true
            :: is_answer_lost = false
            fi
        };
        /* A lost answer is read back. The owner may have been fenced in between; the intent is
         * then in the journal, so nobody was told not_run because of its absence. */
        if
        :: is_answer_lost -> is_written = journal_has_intent
        :: else -> skip
        fi;
        if
        :: is_written -> atomic { dispatched++; check() }
        :: else -> atomic { told_not_run = true; check() }
        fi;
next:   skip
    :: sends_left == 0 -> break
    /* The owner is killed. */
    :: break
    od
}

proctype other_daemon()
{
#ifndef NO_FENCE
    journal_closed = true;
#endif
    /* The journal is read after the fence is known to be in place. */
    if
    :: !journal_has_intent -> atomic { told_not_run = true; check() }
    :: else -> skip /* unresolved */
    fi
}

init
{
    atomic {
        run owner();
        run other_daemon();
        run other_daemon()
    }
}

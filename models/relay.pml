/* A relayed attempt (rule R4): the network may delay, reorder, duplicate or lose the relay message and
 * the cancellation. The owner tells `not_run` only after the receiver confirmed the cancellation.
 *
 * With -DNO_TOMBSTONE the receiver does not remember a cancellation, which must violate the check. */

bool relay_in_transit = false;
byte relay_copies = 0;
bool cancel_in_transit = false;
bool confirmation_in_transit = false;
bool has_tombstone = false;
bool has_seen = false;
byte dispatched = 0;
bool told_not_run = false;

inline check()
{
    assert(dispatched <= 1);
    assert(!(told_not_run && dispatched > 0))
}

proctype owner()
{
    relay_copies = 2;
    relay_in_transit = true;
    /* No reply came in time. */
    cancel_in_transit = true;
    if
    :: confirmation_in_transit -> atomic { told_not_run = true; check() }
    :: skip /* silence: unresolved */
    fi
}

proctype receiver()
{
    do
    :: atomic { relay_in_transit && relay_copies > 0 ->
        relay_copies--;
        if
        :: has_seen || has_tombstone -> skip
        :: else -> has_seen = true; dispatched++; check()
        fi }
    :: atomic { cancel_in_transit ->
        cancel_in_transit = false;
        if
        :: has_seen -> skip
        :: else ->
#ifndef NO_TOMBSTONE
            has_tombstone = true;
#endif
            confirmation_in_transit = true
        fi }
    /* Messages still in transit are lost. */
    :: break
    od
}

init
{
    atomic {
        run owner();
        run receiver()
    }
}

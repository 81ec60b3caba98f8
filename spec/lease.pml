/*
 * Lease with fence (pistachionotch.lease) and the agent's order gate (weights.OrderGate).
 *
 * Default: time. Two processes contend for one lease; time passes in ticks, and a holder's clock may
 * miss SKEW ticks in each holding. Writes lose their answers or get lost.
 * Property: the two never hold the lease at once.
 *
 * With -DORDERS: no assumption about time. A process may take over at any moment, and a past holder
 * goes on sending orders, which are delayed and reordered; the agent restarts at any moment.
 * Property: the agent never starts an order after one with a higher fence, nor orders of two
 * processes with the same fence.
 *
 * The macros WITHOUT_... remove one protecting step each; spin must then find an error.
 */

#define HOLDERS 2
#ifndef MAX_WRITES
#define MAX_WRITES 5
#endif
#define NOBODY 255
#define TIME_TO_LIVE 3
#define SKEW 1
#ifdef WITHOUT_MARGIN
#define MARGIN 0
#else
#define MARGIN 1
#endif
#ifdef ORDERS
#define SAW_NEW_VERSION skip
#else
#define SAW_NEW_VERSION wait_left[me] = TIME_TO_LIVE
#endif

mtype = { OK, LOST_ANSWER, CONFLICT, NO_EFFECT };

/* The lease object; its version is the number of the write. */
byte version = 0;
byte stored_fence = 0;
byte stored_owner = NOBODY;

inline see() {
    if
    :: version != seen ->
        seen = version;
        seen_fence = stored_fence;
        seen_owner = stored_owner;
        SAW_NEW_VERSION
    :: else
    fi
}

inline choose_fence() {
#ifdef WITHOUT_NEW_FENCE
    new_fence = 1
#else
    if
    :: seen_owner == me -> new_fence = seen_fence
    :: else -> new_fence = seen_fence + 1
    fi
#endif
}

/* Conditional write with all its outcomes. */
inline write() {
    atomic {
        if
        :: version == seen && version < MAX_WRITES ->
            version++;
            stored_fence = new_fence;
            stored_owner = me;
            if
            :: result = OK
            :: result = LOST_ANSWER
            fi
        :: version != seen -> result = CONFLICT
        :: result = NO_EFFECT
        fi
    }
}

/* A lost answer is settled by reading: the write is ours if it is still the present version. */
#define took_effect() (result == OK || (result == LOST_ANSWER && version == seen + 1))

inline keep_written() {
    seen++;
    seen_fence = new_fence;
    seen_owner = me
}

#ifndef ORDERS

/* Ticks left, by process: of the holding, of a write under way, of the wait before a take-over. */
byte held_left[HOLDERS];
byte write_left[HOLDERS];
byte wait_left[HOLDERS];
/* Ticks that the clock may still miss in a holding, and in a write under way. */
byte held_skew[HOLDERS];
byte write_skew[HOLDERS];

inline count_down(left, skew) {
    if
    :: left > 0 -> left--
    :: left > 0 && skew > 0 -> skew--
    :: left == 0 -> skew = 0
    fi
}

active proctype Time() {
    byte process;
end:
    do
    :: atomic {
        process = 0;
        do
        :: process == HOLDERS -> break
        :: else ->
            if
            :: wait_left[process] > 0 -> wait_left[process]--
            :: else
            fi;
            count_down(held_left[process], held_skew[process]);
            count_down(write_left[process], write_skew[process]);
            process++
        od;
        process = 0
    }
    od
}

/* The holding counts from here, before the write takes effect. */
inline begin_write() {
    write_left[me] = TIME_TO_LIVE - MARGIN;
    write_skew[me] = SKEW
}

inline end_write() {
    atomic {
        if
        :: took_effect() ->
            keep_written();
#ifdef WITHOUT_EARLY_START
            held_left[me] = TIME_TO_LIVE - MARGIN;
            held_skew[me] = SKEW;
#else
            held_left[me] = write_left[me];
            held_skew[me] = write_skew[me];
#endif
            assert(held_left[0] == 0 || held_left[1] == 0)
        :: else -> see()
        fi;
        write_left[me] = 0;
        write_skew[me] = 0;
        result = NO_EFFECT
    }
}

active [HOLDERS] proctype Holder() {
    byte me = _pid - 1;
    byte seen, seen_fence, new_fence;
    byte seen_owner = NOBODY;
    mtype result = NO_EFFECT;
end:
    do
    :: atomic { version != seen -> see() }
    /* Create, or take over after the version seen has stood for the whole time to live. */
#ifdef WITHOUT_WAITING
    :: atomic { held_left[me] == 0 && version < MAX_WRITES ->
#else
    :: atomic { held_left[me] == 0 && wait_left[me] == 0 && version < MAX_WRITES ->
#endif
        choose_fence();
        begin_write()
    }
        write();
        end_write()
    /* Renew. */
    :: atomic { held_left[me] > 0 && version < MAX_WRITES -> choose_fence(); begin_write() }
        write();
        end_write()
    od
}

#else

chan orders = [2] of { byte, byte };
byte started_fence = 0;
byte started_owner = NOBODY;

active proctype Agent() {
    byte highest = 0;
    byte fence, owner;
end:
    do
    :: atomic {
        orders?fence, owner ->
        if
#ifdef WITHOUT_FENCE_CHECK
        :: true ->
#else
        :: fence < highest -> skip
        :: fence >= highest ->
#endif
            highest = fence;
            assert(fence >= started_fence);
            assert(fence != started_fence || owner == started_owner);
            started_fence = fence;
            started_owner = owner
        fi
    }
    /* Two orders under way change places. */
    :: atomic { len(orders) == 2 -> orders?fence, owner; orders!fence, owner }
    :: atomic {
        /* Restart. */
#ifdef WITHOUT_READING_THE_FENCE
        highest = 0
#else
        highest = stored_fence
#endif
    }
    od
}

active [HOLDERS] proctype Holder() {
    byte me = _pid - 1;
    byte seen, seen_fence, new_fence;
    byte seen_owner = NOBODY;
    byte fence = 0;
    mtype result = NO_EFFECT;
end:
    do
    :: atomic { version != seen -> see() }
    :: version < MAX_WRITES ->
        atomic { choose_fence(); write() }
        atomic {
            if
            :: took_effect() -> keep_written(); fence = new_fence
            :: else -> see()
            fi;
            result = NO_EFFECT
        }
    /* An order carries the fence of the last holding, however long ago that was. */
    :: atomic { fence > 0 && nfull(orders) -> orders!fence, me }
    od
}

#endif

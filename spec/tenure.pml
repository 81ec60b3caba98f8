/* The ownership of a batch as its processes know it: a former owner that may be paused or cut off at
 * any step, a new owner that claims the batch in the log, and clients that read at both.
 *
 * Time passes at any step, so that each process may be paused for any time between any two of them.
 * Checked: a read never shows less than another client had seen before it began, and the former owner
 * starts no item later than TENURE after the claim.
 *
 * Variants that must fail: WITHOUT_TENURE answers without a check; WITHOUT_HOLD lets the new owner list
 * at once; CONFIRMED_LATE counts the tenure from the end of a confirmation; EARLY_CHECK starts an item
 * some time after its check, so that the check has to stand right before the send.
 */

#define TENURE 2
#define LAST 7
#define NEVER 255

byte now = 0;
bool claimed = false;
/* Upper bound of the time of the claim, which the new owner knows. */
byte claimed_ms = NEVER;
/* Results that the new owner has listed, and those that some client has seen. */
byte listed = 0;
byte seen = 0;

proctype Clock() {
    do
    :: now < LAST -> now++
    :: now == LAST -> break
    od
}

proctype FormerOwner() {
    byte started = 0;
    byte confirmed = 0;
    byte asked = 0;
    byte page = 0;
    bool lost = false;
    bool valid = false;

    do
    :: now == LAST -> break
    /* Confirm: the call starts, takes effect in the store, and is answered. */
    :: !lost ->
        started = now;
        bool found;
        found = claimed;
        if
        :: found -> lost = true
#ifdef CONFIRMED_LATE
        :: !found -> confirmed = now
#else
        :: !found -> confirmed = started
#endif
        fi
    /* Answer a read, whose client knows what has been seen so far. */
    :: !lost ->
        asked = seen;
        atomic {
#ifdef WITHOUT_TENURE
            valid = true;
#else
            valid = now - confirmed < TENURE;
#endif
            page = 0
        };
        if
        :: valid -> assert(page >= asked)
        :: else
        fi
    /* Start an item. */
    :: !lost ->
#ifdef EARLY_CHECK
        valid = now - confirmed < TENURE;
        if
        :: valid -> assert(claimed_ms == NEVER || now < claimed_ms + TENURE)
        :: else
        fi
#else
        atomic {
            if
            :: now - confirmed < TENURE ->
                assert(claimed_ms == NEVER || now < claimed_ms + TENURE)
            :: else
            fi
        }
#endif
    od
}

proctype NewOwner() {
    byte page = 0;
    byte asked = 0;

    claimed = true;
    claimed_ms = now;
#ifndef WITHOUT_HOLD
    if
    :: now >= claimed_ms + TENURE
    :: now == LAST && now < claimed_ms + TENURE -> goto over
    fi;
#endif
    listed = 1;
    do
    :: now == LAST -> break
    :: asked = seen;
        page = listed;
        assert(page >= asked);
        seen = page
    od;
over:
    skip
}

init {
    atomic {
        run Clock();
        run FormerOwner();
        run NewOwner()
    }
}

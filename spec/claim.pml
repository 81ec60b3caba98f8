/*
 * Claim and run of one non-idempotent call (pistachionotch.idempotency).
 *
 * Default: a caller's key. BOOKS agent incarnations handle ATTEMPTS attempts each. Since only safety
 * is checked, an incarnation that never takes another step stands for a crash, and one that takes it
 * late for a pause. A write may be refused, lose its answer after its effect, get lost before it, or
 * be delayed and take effect at any later time.
 * With -DISSUED: an issued key, whose home agent restarts, with late Submit messages and queries.
 *
 * Property: at most one run; nothing runs after a query was answered "not run".
 * The macros WITHOUT_... remove one protecting step each; spin must then find an error.
 */

#ifndef BOOKS
#define BOOKS 2
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef RELEASES
#define RELEASES 2
#endif

byte runs = 0;

inline run_call() {
    runs++;
    assert(runs <= 1)
}

#ifndef ISSUED

mtype = { NONE, CLAIMED, RELEASED, FINAL };
mtype = { OK, UNAVAILABLE, AMBIGUOUS, CONFLICT };
mtype = { IDLE, WRITING, CLAIMING, READY, SENT, SAVED, ABANDONED, RELEASING };

/* The claim object. Each write has a number of its own, which is token and version in one; numbers
 * are given out by book, because a common counter would multiply the states. */
mtype claim = NONE;
byte claim_owner = 0;
byte claim_version = 0;

/* A claim of this book that was not sent, or one that is free. */
#define may_replace() (claim == NONE || claim == RELEASED || \
    (claim == CLAIMED && (claim_owner == me || FOREIGN)))
#ifdef WITHOUT_OWNER_CHECK
#define FOREIGN true
#else
#define FOREIGN false
#endif
#define can_release() (phase == ABANDONED || phase == CLAIMING || phase == RELEASING)

chan delayed = [1] of { byte, byte, mtype, byte };

inline apply(number, value, owner) {
    claim = value;
    claim_owner = owner;
    claim_version = number
}

/* The answer of the last write; used only within one atomic step, so not part of the state. */
hidden mtype answer;

/* Conditional write with all its outcomes. A conflict is handled in the same step: the object read
 * after a conflict could as well have been met by a later write, because versions never repeat. */
inline write(expected, number, value) {
    if
    :: expected == claim_version -> apply(number, value, me); answer = OK
    :: expected == claim_version -> apply(number, value, me); answer = AMBIGUOUS
    :: expected != claim_version -> answer = CONFLICT
    :: answer = AMBIGUOUS
    :: nfull(delayed) -> delayed!expected, number, value, me; answer = AMBIGUOUS
    :: answer = UNAVAILABLE
    fi
}

inline new_number(variable) {
    numbers++;
    variable = me * 16 + numbers
}

active proctype Network() {
    byte expected, number, owner;
    mtype value;
end:
    do
    :: atomic {
        delayed?expected, number, value, owner;
        if
        :: expected == claim_version -> apply(number, value, owner)
        :: else
        fi
    }
    od
}

inline drop() {
    known = 0;
    uncertain = false;
    phase = IDLE
}

/* One write that creates the claim or takes it over; READY only if the claim is known to be ours. */
inline claim_call() {
    write(known, token, CLAIMED);
    if
    :: answer == OK -> known = token; uncertain = false; phase = READY
    :: answer == UNAVAILABLE && uncertain -> phase = CLAIMING
    :: answer == UNAVAILABLE && !uncertain -> drop()
#ifdef WITHOUT_SETTLING
    /* The write is repeated without its condition. */
    :: answer == AMBIGUOUS -> apply(token, CLAIMED, me); known = token; phase = READY
#else
    :: answer == AMBIGUOUS -> uncertain = true; phase = CLAIMING
#endif
    :: answer == CONFLICT && claim_version == token ->
        known = token; uncertain = false; phase = READY
    :: answer == CONFLICT && claim_version != token && may_replace() ->
        known = claim_version; phase = WRITING
    :: answer == CONFLICT && claim_version != token && !may_replace() -> drop()
    fi
}

/* One write that gives the claim back. */
inline release_call() {
    new_number(release_number);
    write(known, release_number, RELEASED);
    if
    :: answer == OK -> drop()
    :: answer == UNAVAILABLE -> skip
#ifdef WITHOUT_RELEASING_PHASE
    /* The claim is still taken for ours although the release may arrive. */
    :: answer == AMBIGUOUS -> phase = ABANDONED
#else
    :: answer == AMBIGUOUS -> uncertain = true; phase = RELEASING
#endif
    :: answer == CONFLICT && may_replace() -> known = claim_version
    :: answer == CONFLICT && !may_replace() -> drop()
    fi
}

active [BOOKS] proctype Book() {
    byte me = _pid;
    mtype phase = IDLE;
    byte known, token, release_number, numbers, attempts, releases;
    bool uncertain = false;
end:
    do
    :: atomic { phase == IDLE && attempts < ATTEMPTS ->
        attempts++;
        new_number(token);
        claim_call()
    }
    :: atomic { phase == WRITING -> claim_call() }
    :: atomic { phase == CLAIMING && attempts < ATTEMPTS -> attempts++; claim_call() }
    :: atomic { phase == RELEASING && attempts < ATTEMPTS ->
        attempts++;
#ifdef WITHOUT_NEW_TOKEN
        /* The object still carries our claim, which is taken for proof that it stays ours. */
        if
        :: claim_version == token -> phase = READY
        :: else -> new_number(token); claim_call()
        fi
#else
        new_number(token);
        claim_call()
#endif
    }
    :: atomic { phase == ABANDONED && attempts < ATTEMPTS -> attempts++; phase = READY }
    :: atomic { phase == READY -> phase = SENT; run_call() }
    :: atomic { phase == READY -> phase = ABANDONED }
    :: atomic { can_release() && releases < RELEASES -> releases++; release_call() }
    :: atomic { phase == SENT ->
        new_number(release_number);
        write(known, release_number, FINAL);
        phase = SAVED
    }
    od
}

#else

/* Submits and queries of one issued key of incarnation 1; each is delivered at any time or never. */
byte submits = ATTEMPTS;
byte queries = ATTEMPTS;
bool told_not_run = false;

active proctype Agent() {
    byte incarnation = 1;
    bool recorded = false;
    bool revoked = false;
    do
    :: atomic {
        submits > 0 -> submits--;
        if
#ifndef WITHOUT_INCARNATION_CHECK
        :: incarnation != 1 -> skip
#endif
        :: recorded || revoked -> skip
#ifdef WITHOUT_INCARNATION_CHECK
        :: !recorded && !revoked ->
#else
        :: incarnation == 1 && !recorded && !revoked ->
#endif
            recorded = true;
            assert(!told_not_run);
            run_call()
        fi
    }
    :: atomic {
        queries > 0 -> queries--;
        if
        :: incarnation == 1 && !recorded ->
            told_not_run = true;
#ifndef WITHOUT_REVOKING
            revoked = true
#endif
        :: else -> skip
        fi
    }
    :: atomic {
        incarnation < 3 -> incarnation++; recorded = false; revoked = false
    }
    :: break
    od
}

#endif

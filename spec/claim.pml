/*
 * Claim and run of one non-idempotent call (pistachionotch.idempotency).
 *
 * Default: a caller's key. BOOKS agent incarnations handle ATTEMPTS attempts each. Since only safety
 * is checked, an incarnation that never takes another step stands for a crash, and one that takes it
 * late for a pause. A write may be refused, lose its answer after its effect, get lost before it, or
 * be delayed and take effect at any later time.
 * With -DREFUSALS=n, entries also refuse n requests as "not run", after a conditional write of the
 * key's next epoch. A Submit may be late for any time, so an attempt carries any epoch that an entry
 * can have read up to now. An entry receives a request when it reads the epoch.
 * With -DISSUED: an issued key, whose home agent restarts, with late Submit messages and refusals.
 *
 * Property: at most one run; after a "not run" answer for the key, only requests that were received
 * after the revocation on which the answer rests can run, and for an issued key none.
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
#ifndef REFUSALS
#define REFUSALS 0
#endif

byte runs = 0;

inline run_call() {
    runs++;
    assert(runs <= 1)
}

#ifndef ISSUED

mtype = { NONE, CLAIMED, RELEASED, REVOKED, FINAL };
mtype = { OK, UNAVAILABLE, AMBIGUOUS, CONFLICT };
mtype = { IDLE, WRITING, CLAIMING, READY, SENT, SAVED, ABANDONED, RELEASING, SETTLING };

/* The claim object. Each write has a number of its own, which is token and version in one; numbers
 * are given out by book, because a common counter would multiply the states. */
mtype claim = NONE;
byte claim_owner = 0;
byte claim_version = 0;
byte claim_epoch = 0;

/* The epoch of the last "not run" answer: requests that read a lower one must not run. */
byte refused_epoch = 0;

#define is_free() (claim == NONE || claim == RELEASED || claim == REVOKED)
/* A claim of this book that was not sent, or one that is free. The absent object has epoch 0. */
#define may_replace() (SAME_EPOCH && \
    (is_free() || (claim == CLAIMED && (claim_owner == me || FOREIGN))))
#ifdef WITHOUT_EPOCH
#define SAME_EPOCH true
#else
#define SAME_EPOCH (claim_epoch == epoch)
#endif
#ifdef WITHOUT_OWNER_CHECK
#define FOREIGN true
#else
#define FOREIGN false
#endif
#define can_release() (phase == ABANDONED || phase == CLAIMING || phase == RELEASING)

chan delayed = [1] of { byte, byte, mtype, byte, byte };

inline apply(number, value, owner, new_epoch) {
    claim = value;
    claim_epoch = new_epoch;
    claim_owner = owner;
    claim_version = number
}

/* Used only within one atomic step, so not part of the state: the answer of the last write, and
 * the epoch of a Submit. */
hidden mtype answer;
hidden byte submitted;

/* Conditional write with all its outcomes. A conflict is handled in the same step: the object read
 * after a conflict could as well have been met by a later write, because versions never repeat. */
inline write(expected, number, value) {
    if
    :: expected == claim_version -> apply(number, value, me, epoch); answer = OK
    :: expected == claim_version -> apply(number, value, me, epoch); answer = AMBIGUOUS
    :: expected != claim_version -> answer = CONFLICT
    :: answer = AMBIGUOUS
    :: nfull(delayed) -> delayed!expected, number, value, me, epoch; answer = AMBIGUOUS
    :: answer = UNAVAILABLE
    fi
}

inline new_number(variable) {
    numbers++;
    variable = me * 16 + numbers
}

active proctype Network() {
    byte expected, number, owner, epoch;
    mtype value;
end:
    do
    :: atomic {
        delayed?expected, number, value, owner, epoch;
        if
        :: expected == claim_version -> apply(number, value, owner, epoch)
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
    :: answer == AMBIGUOUS -> apply(token, CLAIMED, me, epoch); known = token; phase = READY
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

/* The epoch of a new attempt; a later one than before needs a token and a version of its own. */
inline take_epoch(lowest) {
    submitted = lowest;
    do
    :: submitted < claim_epoch -> submitted++
    :: break
    od;
    if
    :: submitted != epoch -> epoch = submitted; known = 0; new_number(token)
    :: else
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

/* Ends one refusal; its variables are reset so that they do not multiply the states. */
inline end_refusal() {
    known = 0;
    token = 0;
    epoch = 0;
    phase = IDLE
}

/* The answer "not run", which rests on a confirmed revocation. */
inline refuse() {
    refused_epoch = epoch;
    end_refusal()
}

active [BOOKS] proctype Book() {
    byte me = _pid;
    mtype phase = IDLE;
    byte known, token, release_number, numbers, attempts, releases, epoch;
    bool uncertain = false;
end:
    do
    :: atomic { phase == IDLE && attempts < ATTEMPTS ->
        attempts++;
        take_epoch(0);
        new_number(token);
        claim_call()
    }
    :: atomic { phase == WRITING -> claim_call() }
    :: atomic { phase == CLAIMING && attempts < ATTEMPTS ->
        attempts++;
        take_epoch(epoch);
        claim_call()
    }
    :: atomic { phase == RELEASING && attempts < ATTEMPTS ->
        attempts++;
        take_epoch(epoch);
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
    :: atomic { phase == READY -> phase = SENT; assert(epoch >= refused_epoch); run_call() }
    :: atomic { phase == READY -> phase = ABANDONED }
    :: atomic { can_release() && releases < RELEASES -> releases++; release_call() }
    :: atomic { phase == SENT ->
        new_number(release_number);
        write(known, release_number, FINAL);
        phase = SAVED
    }
    od
}

#if REFUSALS
/* Entries that refuse requests with the key, one after the other. */
active proctype Entry() {
    byte me = _pid;
    mtype phase = IDLE;
    byte known, token, numbers, epoch, refusals;
end:
    do
    :: atomic { phase == IDLE && refusals < REFUSALS && is_free() ->
        refusals++;
        known = claim_version;
        epoch = claim_epoch + 1;
        new_number(token);
        phase = WRITING
    }
    :: atomic { phase == WRITING ->
        write(known, token, REVOKED);
        if
        :: answer == OK -> refuse()
#ifdef WITHOUT_CONFIRMING
        :: answer == AMBIGUOUS -> refuse()
#else
        :: answer == AMBIGUOUS -> phase = SETTLING
#endif
        :: else -> end_refusal()
        fi
    }
    :: atomic { phase == SETTLING ->
        if
        :: claim_version == token -> refuse()
        :: claim_version == known -> phase = WRITING
        :: else -> end_refusal()
        fi
    }
    od
}
#endif

#else

/* Submits and refusals of one issued key of incarnation 1; each is delivered at any time or never. */
byte submits = ATTEMPTS;
byte refusals = ATTEMPTS;
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
        refusals > 0 -> refusals--;
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

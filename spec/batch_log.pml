/* The log of a batch: entries are created and never changed, by processes that may be paused for any
 * time, whose writes may be answered, lose their answer, or take effect later.
 *
 * Process 0 owns the batch at first; the others may take it over at any time, also while it works.
 * Checked: an item has one position, and nothing follows the end.
 *
 * Variants that must fail: FORGET_PENDING lists an item again whose write has an unknown outcome;
 * OVERWRITE writes without the condition; AFTER_END goes on after the end.
 */

#ifndef PROCESSES
#define PROCESSES 2
#endif
#define ENTRIES 6
#define ITEMS 2
#define EMPTY 0
#define END 99
#define OWNER(process) (50 + (process))
#define RESULT(process, item) (1 + (process) * ITEMS + (item))
#define IS_RESULT(entry) ((entry) >= 1 && (entry) <= PROCESSES * ITEMS)
#define ITEM_OF(entry) (((entry) - 1) % ITEMS)

byte log[ENTRIES];
/* A write on its way: its position and entry, or EMPTY. */
byte late_position[PROCESSES];
byte late_entry[PROCESSES];

inline create(position, entry) {
    if
#ifdef OVERWRITE
    :: true ->
#else
    :: log[position] == EMPTY ->
#endif
        log[position] = entry;
        check_log()
#ifndef OVERWRITE
    :: else
#endif
    fi
}

inline check_log() {
    c = 0;
    ended = false;
    seen_items = 0;
    do
    :: c < ENTRIES ->
        if
        :: IS_RESULT(log[c]) ->
            assert(!ended);
            assert(!(seen_items & (1 << ITEM_OF(log[c]))));
            seen_items = seen_items | (1 << ITEM_OF(log[c]))
        :: log[c] == END -> ended = true
        :: else
        fi;
        c++
    :: else -> break
    od;
    c = 0;
    seen_items = 0;
    ended = false
}

/* Takes over what stands at the process's position. */
inline step_over() {
    if
    :: IS_RESULT(log[position]) -> listed = listed | (1 << ITEM_OF(log[position]))
    :: log[position] == OWNER(me) -> owns = true
    :: log[position] >= 50 && log[position] < END && log[position] != OWNER(me) -> owns = false
    :: log[position] == END ->
#ifdef AFTER_END
        skip
#else
        owns = false;
        over = true
#endif
    fi;
    position++
}

proctype Process(byte me) {
    byte position = 0;
    byte listed = 0;
    byte pending = EMPTY;
    byte seen_items = 0;
    byte c = 0;
    bool ended = false;
    bool owns = (me == 0);
    bool over = false;

    do
    :: position >= ENTRIES || over -> break
    /* Read the next entry; an own write of unknown outcome is settled below instead. */
    :: atomic { position < ENTRIES && !over && pending == EMPTY && log[position] != EMPTY ->
        step_over() }
    /* Decide to list an item, to end the batch, or to take it over. */
    :: atomic { owns && !over && pending == EMPTY && !(listed & 1) -> pending = RESULT(me, 0) }
    :: atomic { owns && !over && pending == EMPTY && !(listed & 2) -> pending = RESULT(me, 1) }
    :: atomic { owns && !over && pending == EMPTY -> pending = END }
    :: atomic { !owns && !over && pending == EMPTY && position < ENTRIES &&
        log[position] == EMPTY -> pending = OWNER(me) }
    /* An end takes the place of results whose write has an unknown outcome. */
    :: atomic { owns && !over && IS_RESULT(pending) -> pending = END }
    /* Write: with an answer, without one, or taking effect later. */
    :: atomic { pending != EMPTY && position < ENTRIES ->
        if
        :: log[position] == EMPTY ->
            create(position, pending);
            pending = EMPTY;
            step_over()
        :: log[position] == EMPTY ->
            create(position, pending)
#ifdef FORGET_PENDING
            ; pending = EMPTY; position++
#endif
        :: log[position] == EMPTY && late_entry[me] == EMPTY ->
            late_position[me] = position;
            late_entry[me] = pending
        :: log[position] != EMPTY ->
            pending = EMPTY;
            step_over()
        fi }
    /* The late write takes effect. */
    :: atomic { late_entry[me] != EMPTY ->
        create(late_position[me], late_entry[me]);
        late_entry[me] = EMPTY }
    od
}

init {
    byte number = 0;
    atomic {
        do
        :: number < PROCESSES -> run Process(number); number++
        :: else -> break
        od
    }
}

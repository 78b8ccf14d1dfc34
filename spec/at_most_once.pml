/*
 * At-most-once execution with keys that name their home daemon.
 *
 * One key, issued by incarnation 1 of its home. A caller sends it repeatedly
 * through two first daemons; messages may be lost, duplicated and reordered.
 * The home may crash at any step and is replaced by incarnation 2, which starts
 * without state. The home may also be paused at any step, including the last
 * one before the backend server; interleaving covers this. Epochs advance at
 * the home.
 *
 * Broken variants, each of which must violate a property:
 *   BREAK_FORGET    an outcome is discarded while its key is still valid
 *   BREAK_SUCCESSOR incarnation 2 runs keys of incarnation 1
 *   BREAK_TIMEOUT   a first daemon reports "not run" after a time-out
 *   BREAK_OPEN      a refused key is not closed and may run later
 */

#define COPIES 3        /* maximum number of copies of the call */
#define EPOCHS 3        /* maximum number of epochs that pass */
#define VALID_EPOCHS 1  /* a key of epoch e is valid until e + VALID_EPOCHS */

#ifdef BREAK_SUCCESSOR
#define MAY_RUN(process) (true)
#else
#define MAY_RUN(process) (process == 1)
#endif

mtype = { none, running, ran, refused };

byte runs;              /* runs started on the backend server */
bool reported_not_run;  /* "not run" was reported to a caller */
byte copies_sent;
byte copies_in_transit;
byte incarnation = 1;   /* current incarnation of the home */
byte crashes;
byte epoch;             /* epoch of the home; the key is of epoch 0 */
mtype entry = none;     /* record of the key at the home */

/* A first daemon sends a copy, or times out waiting for the outcome. */
active [2] proctype FirstDaemon() {
  do
  :: atomic { copies_sent < COPIES -> copies_sent++; copies_in_transit++ }
  :: copies_sent > 0 ->
#ifdef BREAK_TIMEOUT
     reported_not_run = true
#else
     skip  /* reports "unknown" */
#endif
  :: break
  od
}

/* Loses and duplicates messages in transit. */
active proctype Network() {
  do
  :: atomic { copies_in_transit > 0 -> copies_in_transit-- }
  :: atomic { copies_in_transit > 0 && copies_sent < COPIES -> copies_sent++; copies_in_transit++ }
  :: break
  od
}

/* The daemon of the backend server. */
active proctype Home() {
  byte own_incarnation;
again:
  own_incarnation = incarnation;
  do
  :: atomic { copies_in_transit > 0 -> copies_in_transit-- };
     if
     :: atomic { incarnation != own_incarnation -> entry = none; goto again }
     :: atomic { incarnation == own_incarnation && !MAY_RUN(own_incarnation) -> skip }  /* home lost: reports unknown */
     :: atomic { incarnation == own_incarnation && entry != none -> skip }  /* returns the outcome again, or joins the run */
     :: atomic { incarnation == own_incarnation && MAY_RUN(own_incarnation) && epoch > VALID_EPOCHS && entry == none -> skip } /* expired */
     :: atomic { incarnation == own_incarnation && MAY_RUN(own_incarnation) && epoch <= VALID_EPOCHS && entry == none -> entry = running };
        if
        :: incarnation == own_incarnation -> runs++ ;  /* the last step before the backend server */
           if
           :: atomic { incarnation == own_incarnation -> entry = ran }
           :: atomic { incarnation != own_incarnation -> entry = none; goto again }
           fi
        :: atomic { incarnation == own_incarnation ->  /* refused by admission control */
#ifdef BREAK_OPEN
             entry = none;
#else
             entry = refused;
#endif
             reported_not_run = true }
        :: atomic { incarnation != own_incarnation -> entry = none; goto again }
        fi
     fi
  :: atomic { incarnation != own_incarnation -> entry = none; goto again }
  :: break
  od
}

/* Kills and replaces the home, and advances the epoch. */
active proctype Environment() {
  do
  :: atomic { crashes < 1 -> crashes++; incarnation++ }
  :: atomic { epoch < EPOCHS && entry != running -> epoch++;
       if
#ifdef BREAK_FORGET
       :: entry == ran || entry == refused -> entry = none
#else
       :: epoch > VALID_EPOCHS && (entry == ran || entry == refused) -> entry = none
#endif
       :: else
       fi }
  :: break
  od
}

ltl at_most_once { [] (runs <= 1) }
ltl not_run_true { [] (reported_not_run -> runs == 0) }

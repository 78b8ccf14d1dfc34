/*
 * At-most-once runs with keys that name their home.
 *
 * One key, issued by incarnation 1 of its home. A caller sends it and resends
 * it through two first daemons; messages are lost, duplicated and overtake one
 * another. The home may crash at any step and is replaced by incarnation 2,
 * which knows nothing. It may be paused at any step: interleaving gives that,
 * the last step before the backend server included. Epochs pass at the home.
 *
 * Broken variants, each of which must be refuted:
 *   BREAK_FORGET    an outcome is forgotten while its key is still good
 *   BREAK_SUCCESSOR incarnation 2 runs keys of incarnation 1
 *   BREAK_TIMEOUT   a first daemon that waited in vain says "not run"
 *   BREAK_OPEN      a refused key is not closed: it may run later
 */

#define COPIES 3        /* copies of the call that may be on their way */
#define EPOCHS 3        /* epochs that may pass */
#define GOOD_EPOCHS 1   /* a key of epoch e is good until e + GOOD_EPOCHS */

#ifdef BREAK_SUCCESSOR
#define MAY_RUN(process) (true)
#else
#define MAY_RUN(process) (process == 1)
#endif

mtype = { none, running, ran, refused };

byte runs;              /* runs handed to the backend server */
bool told_not_run;      /* some caller was told "not run" */
byte copies_sent;
byte copies_waiting;    /* copies that arrived at nobody yet */
byte incarnation = 1;   /* process at the home's place */
byte crashes;
byte epoch;             /* epoch of the home; the key is of epoch 0 */
mtype entry = none;     /* the home's record of the key */

/* A first daemon sends a copy, or gives up waiting for an answer. */
active [2] proctype FirstDaemon() {
  do
  :: atomic { copies_sent < COPIES -> copies_sent++; copies_waiting++ }
  :: copies_sent > 0 ->
#ifdef BREAK_TIMEOUT
     told_not_run = true
#else
     skip               /* the answer is "unknown" */
#endif
  :: break
  od
}

/* Loss and duplication on the way. */
active proctype Network() {
  do
  :: atomic { copies_waiting > 0 -> copies_waiting-- }
  :: atomic { copies_waiting > 0 && copies_sent < COPIES -> copies_sent++; copies_waiting++ }
  :: break
  od
}

/* The process beside the backend server. */
active proctype Home() {
  byte self;
again:
  self = incarnation;
  do
  :: atomic { copies_waiting > 0 -> copies_waiting-- };
     if
     :: atomic { incarnation != self -> entry = none; goto again }
     :: atomic { incarnation == self && !MAY_RUN(self) -> skip }               /* home lost: unknown */
     :: atomic { incarnation == self && entry != none -> skip }               /* told again, or joins */
     :: atomic { incarnation == self && MAY_RUN(self) && epoch > GOOD_EPOCHS && entry == none -> skip } /* expired */
     :: atomic { incarnation == self && MAY_RUN(self) && epoch <= GOOD_EPOCHS && entry == none -> entry = running };
        if
        :: incarnation == self -> runs++ ;                       /* the last step */
           if
           :: atomic { incarnation == self -> entry = ran }
           :: atomic { incarnation != self -> entry = none; goto again }
           fi
        :: atomic { incarnation == self ->                       /* refused by admission control */
#ifdef BREAK_OPEN
             entry = none;
#else
             entry = refused;
#endif
             told_not_run = true }
        :: atomic { incarnation != self -> entry = none; goto again }
        fi
     fi
  :: atomic { incarnation != self -> entry = none; goto again }
  :: break
  od
}

/* The home is killed and replaced; time passes. */
active proctype Environment() {
  do
  :: atomic { crashes < 1 -> crashes++; incarnation++ }
  :: atomic { epoch < EPOCHS && entry != running -> epoch++;
       if
#ifdef BREAK_FORGET
       :: entry == ran || entry == refused -> entry = none
#else
       :: epoch > GOOD_EPOCHS && (entry == ran || entry == refused) -> entry = none
#endif
       :: else
       fi }
  :: break
  od
}

ltl at_most_once { [] (runs <= 1) }
ltl not_run_true { [] (told_not_run -> runs == 0) }

/*
 * Acceptance, spread and adoption of configuration versions.
 *
 * Two operators race with conditional updates of the head; an answer may be
 * lost after the update took effect, and the operator then reads the head
 * again. Two daemons learn of versions from the platform or from each other,
 * fetch the two pieces of a version one by one, may be restarted without
 * memory, and adopt. Version v consists of pieces 2v and 2v+1 of which the
 * route piece points at the service piece.
 *
 * Broken variants, each of which must be refuted:
 *   BREAK_BACK     a daemon adopts whatever it hears of
 *   BREAK_PARTIAL  a daemon adopts once the first piece is there
 *   BREAK_BLIND    an operator writes the head without the condition
 *   BREAK_ANSWER   an operator takes a lost answer for a refusal
 */

#define DAEMONS 2
#define VERSIONS 2

byte head;                         /* version in the platform */
byte owner[VERSIONS + 1];          /* operator whose change became the version */
bool told_lost[3];                 /* an operator was told that its change lost */
byte in_force[DAEMONS];
byte whole[DAEMONS];               /* pieces of the version in force */
bool stepped_back;
byte restarts;
bool operators_done[2];

/* An operator applies one change. */
proctype Operator(byte me) {
  byte base; bool mine; byte v;
  base = head;
  if
  :: base < VERSIONS ->
#ifdef BREAK_BLIND
     atomic { head = base + 1; owner[base + 1] = me; mine = true };
#else
     atomic {
       if
       :: head == base -> head = base + 1; owner[base + 1] = me; mine = true
       :: else -> mine = false
       fi };
#endif
     if
     :: skip                       /* the answer arrives */
        if
        :: mine -> skip
        :: else -> told_lost[me] = true
        fi
     :: skip ->                    /* the answer is lost */
#ifdef BREAK_ANSWER
        told_lost[me] = true
#else
        /* read the head's history: is the own change in it? */
        atomic {
          mine = false; v = 1;
          do
          :: v <= head -> if :: owner[v] == me -> mine = true :: else fi; v++
          :: else -> break
          od;
          if :: mine -> skip :: else -> told_lost[me] = true fi }
#endif
     fi
  :: else -> skip
  fi;
  operators_done[me - 1] = true
}

/* A daemon: hears of a version, fetches its pieces, adopts. */
proctype Daemon(byte me) {
  byte heard; byte pieces;
  do
  :: /* hear of a version: from the platform's head, now or as it once was, or from the peer */
     if
     :: atomic { head > 0 -> heard = head }
     :: atomic { head > 1 -> heard = head - 1 }   /* a crossed, older update */
     :: atomic { in_force[1 - me] > 0 -> heard = in_force[1 - me] }
     :: else -> skip
     fi;
     if
#ifndef BREAK_BACK
     :: heard > in_force[me] ->
#else
     :: heard > 0 && heard != in_force[me] ->
#endif
        pieces = 0;
        do
        :: pieces < 2 -> pieces++                 /* a piece arrives */
#ifdef BREAK_PARTIAL
        :: pieces == 1 -> break
#endif
        :: pieces < 2 -> pieces = 0; break        /* the fetch is lost */
        :: pieces == 2 -> break
        od;
        if
#ifdef BREAK_PARTIAL
        :: pieces >= 1 ->
#else
        :: pieces == 2 ->
#endif
           atomic {
             if :: heard < in_force[me] -> stepped_back = true :: else fi;
             in_force[me] = heard; whole[me] = pieces }
        :: else -> skip
        fi
     :: else -> skip
     fi;
     heard = 0; pieces = 0
  :: atomic { restarts < 1 -> restarts++; in_force[me] = 0; whole[me] = 0 }
  od
}

init {
  atomic { run Operator(1); run Operator(2); run Daemon(0); run Daemon(1) }
}

ltl never_back    { [] !stepped_back }
ltl never_partial { [] ((in_force[0] > 0 -> whole[0] == 2) && (in_force[1] > 0 -> whole[1] == 2)) }
ltl accepted_kept { [] !((told_lost[1] && (owner[1] == 1 || owner[2] == 1)) ||
                         (told_lost[2] && (owner[1] == 2 || owner[2] == 2))) }
/* A change whose operator was told that it was accepted is not overwritten. */
ltl accepted_once { [] ((operators_done[0] && operators_done[1] && !told_lost[1] && !told_lost[2])
                        -> head == 2) }

/*
 * Acceptance, distribution and adoption of configuration versions.
 *
 * Two operators compete with conditional updates of the head. A response may be
 * lost after the update took effect, whereupon the operator reads the head
 * again. Two daemons learn of versions from the platform or from each other,
 * fetch the two pieces of a version one by one, and adopt it. A daemon may
 * restart, which loses its state. Version v consists of the pieces 2v and 2v+1,
 * of which the route piece refers to the service piece.
 *
 * Broken variants, each of which must violate a property:
 *   BREAK_BACK     a daemon adopts any version that it learns of
 *   BREAK_PARTIAL  a daemon adopts a version once it has the first piece
 *   BREAK_BLIND    an operator updates the head unconditionally
 *   BREAK_ANSWER   an operator takes a lost response for a rejection
 */

#define DAEMONS 2
#define VERSIONS 2

byte head;                      /* newest version in the platform */
byte owner[VERSIONS + 1];       /* operator whose change created the version */
bool reported_lost[3];          /* the operator was told that its change was rejected */
byte in_force[DAEMONS];
byte pieces_in_force[DAEMONS];  /* number of pieces of the version in force */
bool version_regressed;
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
     :: skip  /* the response arrives */
        if
        :: mine -> skip
        :: else -> reported_lost[me] = true
        fi
     :: skip ->  /* the response is lost */
#ifdef BREAK_ANSWER
        reported_lost[me] = true
#else
        /* look for the own change in the history of the head */
        atomic {
          mine = false; v = 1;
          do
          :: v <= head -> if :: owner[v] == me -> mine = true :: else fi; v++
          :: else -> break
          od;
          if :: mine -> skip :: else -> reported_lost[me] = true fi }
#endif
     fi
  :: else -> skip
  fi;
  operators_done[me - 1] = true
}

/* A daemon learns of a version, fetches its pieces and adopts it. */
proctype Daemon(byte me) {
  byte known; byte pieces;
  do
  :: /* learn of a version from the current head, from an older one, or from the peer */
     if
     :: atomic { head > 0 -> known = head }
     :: atomic { head > 1 -> known = head - 1 }   /* a reordered, older update */
     :: atomic { in_force[1 - me] > 0 -> known = in_force[1 - me] }
     :: else -> skip
     fi;
     if
#ifndef BREAK_BACK
     :: known > in_force[me] ->
#else
     :: known > 0 && known != in_force[me] ->
#endif
        pieces = 0;
        do
        :: pieces < 2 -> pieces++  /* a piece arrives */
#ifdef BREAK_PARTIAL
        :: pieces == 1 -> break
#endif
        :: pieces < 2 -> pieces = 0; break  /* the fetch is lost */
        :: pieces == 2 -> break
        od;
        if
#ifdef BREAK_PARTIAL
        :: pieces >= 1 ->
#else
        :: pieces == 2 ->
#endif
           atomic {
             if :: known < in_force[me] -> version_regressed = true :: else fi;
             in_force[me] = known; pieces_in_force[me] = pieces }
        :: else -> skip
        fi
     :: else -> skip
     fi;
     known = 0; pieces = 0
  :: atomic { restarts < 1 -> restarts++; in_force[me] = 0; pieces_in_force[me] = 0 }
  od
}

init {
  atomic { run Operator(1); run Operator(2); run Daemon(0); run Daemon(1) }
}

ltl never_back    { [] !version_regressed }
ltl never_partial { [] ((in_force[0] > 0 -> pieces_in_force[0] == 2) && (in_force[1] > 0 -> pieces_in_force[1] == 2)) }
ltl accepted_kept { [] !((reported_lost[1] && (owner[1] == 1 || owner[2] == 1)) ||
                         (reported_lost[2] && (owner[1] == 2 || owner[2] == 2))) }
/* A change reported as accepted is not overwritten by another one. */
ltl accepted_once { [] ((operators_done[0] && operators_done[1] && !reported_lost[1] && !reported_lost[2])
                        -> head == 2) }

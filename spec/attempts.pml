/*
 * Attempts without keys: a request that is not idempotent, its first daemon,
 * and the daemons of the targets to which it is offered one after the other.
 *
 * A message on a link may stay unread in the buffer of the target for any time,
 * even after the loss of the link and the deadline. Links, target daemons and
 * connections to backend servers may fail at any step. For a planned stop the
 * first daemon asks the targets to return queued requests.
 *
 * Broken variants, each of which must violate a property:
 *   BREAK_REPEAT    an attempt that ended without a response is repeated
 *   BREAK_UNKNOWN   such an attempt is reported to the client as not run
 *   BREAK_BROKEN    a target reports "not run" when the connection to its
 *                   backend server broke after the request was written
 *   BREAK_GIVEBACK  a returned request stays in the queue
 */

#define TARGETS 3

mtype = { idle, unread, waiting, started, over };
mtype = { none, not_run, ran };

byte runs;                       /* number of times that a backend server started the request */
bool reported_not_run;           /* "not run" was reported to the client */
mtype attempt[TARGETS] = idle;
mtype response[TARGETS] = none;
bool return_requested[TARGETS];  /* the first daemon asked for the return of the request */
bool stopping;

active proctype FirstDaemon() {
  byte target = 0;
  do
  :: target == TARGETS -> reported_not_run = true; break
  :: else ->
     atomic { attempt[target] = unread }
     do
     :: atomic { response[target] == not_run && !stopping -> target++; break }
     :: atomic { response[target] == not_run && stopping -> reported_not_run = true; goto done }
     :: response[target] == ran -> goto done
     :: atomic { !stopping -> stopping = true; return_requested[target] = true }
     :: skip -> /* the link is lost, or the deadline passed */
#ifdef BREAK_UNKNOWN
        reported_not_run = true; goto done
#else
#ifdef BREAK_REPEAT
        atomic { target + 1 < TARGETS -> target++; break }
#else
        goto done /* reported as unknown */
#endif
#endif
     od
  od;
done:
  skip
}

active [TARGETS] proctype Target() {
  byte me = _pid - 1;
  do
  :: atomic { attempt[me] == unread -> attempt[me] = waiting }
  :: atomic { attempt[me] == waiting -> attempt[me] = over; response[me] = not_run } /* refused */
  :: atomic { attempt[me] == waiting && return_requested[me] ->
#ifndef BREAK_GIVEBACK
       attempt[me] = over;
#endif
       response[me] = not_run }
  :: atomic { attempt[me] == waiting -> attempt[me] = started; runs++ }
  :: atomic { attempt[me] == started -> attempt[me] = over; response[me] = ran }
  :: atomic { attempt[me] == started -> attempt[me] = over; /* the connection broke */
#ifdef BREAK_BROKEN
       response[me] = not_run
#else
       skip
#endif
     }
  :: atomic { attempt[me] == waiting -> attempt[me] = over } /* the daemon crashes */
  :: attempt[me] == over -> break
  :: attempt[me] == idle -> break
  od
}

ltl at_most_once { [] (runs <= 1) }
ltl not_run_true { [] !(reported_not_run && runs > 0) }

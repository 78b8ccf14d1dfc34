/*
 * Attempts without keys: a request that is not idempotent, its first daemon and
 * the daemons of the targets that it may be offered to one after the other.
 *
 * A message on a link may stay unread in the target's buffer for as long as it
 * likes, past the loss of the link and the deadline. Links, target daemons and
 * backend servers' connections fail at any step. A planned stop of the first
 * daemon asks targets to give back what waits.
 *
 * Broken variants, each of which must be refuted:
 *   BREAK_REPEAT    an attempt that ended without an answer is sent again
 *   BREAK_UNKNOWN   it is told to the client as not run
 *   BREAK_BROKEN    a target says "not run" when its backend server's connection
 *                   broke after the request was written
 *   BREAK_GIVEBACK  what is given back stays in the queue
 */

#define TARGETS 3

mtype = { idle, unread, waiting, started, over };
mtype = { none, not_run, ran };

byte runs;               /* times that a backend server began to run it */
bool told_not_run;       /* the client was told that it did not run */
mtype attempt[TARGETS] = idle;
mtype answer[TARGETS] = none;
bool give_back[TARGETS]; /* a planned stop asked for it */
bool stopping;

active proctype FirstDaemon() {
  byte target = 0;
  do
  :: target == TARGETS -> told_not_run = true; break
  :: else ->
     atomic { attempt[target] = unread }
     do
     :: atomic { answer[target] == not_run && !stopping -> target++; break }
     :: atomic { answer[target] == not_run && stopping -> told_not_run = true; goto done }
     :: answer[target] == ran -> goto done
     :: atomic { !stopping -> stopping = true; give_back[target] = true }
     :: skip -> /* the link is lost, or the time is over */
#ifdef BREAK_UNKNOWN
        told_not_run = true; goto done
#else
#ifdef BREAK_REPEAT
        atomic { target + 1 < TARGETS -> target++; break }
#else
        goto done /* told as unknown */
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
  :: atomic { attempt[me] == waiting -> attempt[me] = over; answer[me] = not_run } /* refused */
  :: atomic { attempt[me] == waiting && give_back[me] ->
#ifndef BREAK_GIVEBACK
       attempt[me] = over;
#endif
       answer[me] = not_run }
  :: atomic { attempt[me] == waiting -> attempt[me] = started; runs++ }
  :: atomic { attempt[me] == started -> attempt[me] = over; answer[me] = ran }
  :: atomic { attempt[me] == started -> attempt[me] = over; /* the connection broke */
#ifdef BREAK_BROKEN
       answer[me] = not_run
#else
       skip
#endif
     }
  :: atomic { attempt[me] == waiting -> attempt[me] = over } /* the daemon dies */
  :: attempt[me] == over -> break
  :: attempt[me] == idle -> break
  od
}

ltl at_most_once { [] (runs <= 1) }
ltl not_run_true { [] !(told_not_run && runs > 0) }

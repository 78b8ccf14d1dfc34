/*
 * Every live and connected daemon reaches the newest accepted version.
 *
 * Versions are accepted one after the other. Three daemons: the first watches
 * the platform, the others hear rumours, which may be lost, and compare
 * versions with a peer now and then. A daemon may restart without memory, and
 * the watch may be lost. Checked under weak fairness: whoever can always act
 * acts some time.
 *
 * Broken variants, each of which must be refuted:
 *   BREAK_NET   daemons rely on rumours alone and never compare versions
 *   BREAK_WATCH the watching daemon reads the head once and never again
 */

#define VERSIONS 2
#define LOSSES 2
#define RESTARTS 1

byte head;
byte in_force[3];
bool rumour[3];        /* a rumour of the sender's version is on its way to the daemon */
byte losses;
byte restarts;
bool read_once;

active proctype Operators() {
  do
  :: head < VERSIONS -> head++
  :: head == VERSIONS -> break
  od
}

/* Daemon 0 watches the platform; after adopting it tells the others. */
active proctype Watcher() {
  do
#ifdef BREAK_WATCH
  :: atomic { !read_once && in_force[0] < head ->
#else
  :: atomic { in_force[0] < head ->
#endif
       in_force[0] = head; read_once = true; rumour[1] = true; rumour[2] = true }
  od
}

/* A rumour arrives: the daemon pulls what the first daemon holds. */
proctype Follower(byte me) {
  do
  :: atomic { rumour[me] -> rumour[me] = false;
       if :: in_force[me] < in_force[0] -> in_force[me] = in_force[0] :: else fi }
#ifndef BREAK_NET
  :: atomic { in_force[me] < in_force[0] -> in_force[me] = in_force[0] }
  :: atomic { in_force[me] < in_force[3 - me] -> in_force[me] = in_force[3 - me] }
#endif
  od
}

active proctype Faults() {
  do
  :: atomic { losses < LOSSES && rumour[1] -> rumour[1] = false; losses++ }
  :: atomic { losses < LOSSES && rumour[2] -> rumour[2] = false; losses++ }
  :: atomic { restarts < RESTARTS -> in_force[1] = 0; restarts++ }
  :: atomic { restarts < RESTARTS -> in_force[0] = 0; restarts++ }
  :: break
  od
}

/* Time passes whatever the daemons do, so that no run ends. */
bool tick;
active proctype Time() {
  do
  :: tick = !tick
  od
}

init { atomic { run Follower(1); run Follower(2) } }

ltl all_reach_newest { <> [] (head == VERSIONS && in_force[0] == head && in_force[1] == head && in_force[2] == head) }

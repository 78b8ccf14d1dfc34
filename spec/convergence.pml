/*
 * Every live and connected daemon reaches the newest accepted version.
 *
 * Versions are accepted one after the other. Of three daemons, the first
 * watches the platform. The others receive gossip messages, which may be lost,
 * and periodically compare versions with a peer. A daemon may restart, which
 * loses its state, and the watch may be lost. Checked with weak fairness: a
 * process that stays enabled is scheduled eventually.
 *
 * Broken variants, each of which must violate the property:
 *   BREAK_NET   daemons rely on gossip alone and never compare versions
 *   BREAK_WATCH the watching daemon reads the head only once
 */

#define VERSIONS 2
#define LOSSES 2
#define RESTARTS 1

byte head;
byte in_force[3];
bool gossip[3];  /* a gossip message to the daemon is in transit */
byte losses;
byte restarts;
bool read_once;

active proctype Operators() {
  do
  :: head < VERSIONS -> head++
  :: head == VERSIONS -> break
  od
}

/* Daemon 0 watches the platform and, after adoption, notifies the others. */
active proctype Watcher() {
  do
#ifdef BREAK_WATCH
  :: atomic { !read_once && in_force[0] < head ->
#else
  :: atomic { in_force[0] < head ->
#endif
       in_force[0] = head; read_once = true; gossip[1] = true; gossip[2] = true }
  od
}

/* On a gossip message, the daemon pulls the version of the first daemon. */
proctype Follower(byte me) {
  do
  :: atomic { gossip[me] -> gossip[me] = false;
       if :: in_force[me] < in_force[0] -> in_force[me] = in_force[0] :: else fi }
#ifndef BREAK_NET
  :: atomic { in_force[me] < in_force[0] -> in_force[me] = in_force[0] }
  :: atomic { in_force[me] < in_force[3 - me] -> in_force[me] = in_force[3 - me] }
#endif
  od
}

active proctype Faults() {
  do
  :: atomic { losses < LOSSES && gossip[1] -> gossip[1] = false; losses++ }
  :: atomic { losses < LOSSES && gossip[2] -> gossip[2] = false; losses++ }
  :: atomic { restarts < RESTARTS -> in_force[1] = 0; restarts++ }
  :: atomic { restarts < RESTARTS -> in_force[0] = 0; restarts++ }
  :: break
  od
}

/* Time always advances, so that no execution ends. */
bool tick;
active proctype Time() {
  do
  :: tick = !tick
  od
}

init { atomic { run Follower(1); run Follower(2) } }

ltl all_reach_newest { <> [] (head == VERSIONS && in_force[0] == head && in_force[1] == head && in_force[2] == head) }

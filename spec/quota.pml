/*
 * The sum of what all daemons let through never exceeds an account's limit.
 *
 * Time passes in rounds. Daemon A is the home of the account, daemon B accepts
 * requests and is A's successor; each stands for its side of a partition, half
 * of the fleet. In a round the home grants at most the rate, of which both may
 * use any part. The link may be cut and heal, A may crash and be replaced by a
 * new process, and a new version may lower the limit. Failure detection and the
 * news of a return take different times at A and B.
 *
 * A round is longer than the lifetime of a token. Not modelled: a cut before
 * both sides have noticed the end of the former one, and one while the replaced
 * A has not yet got its account back.
 *
 * Broken variants, each of which must violate the property:
 *   BREAK_LEASE   the home does not reserve the lease of a daemon that is silent
 *   BREAK_WAIT    the successor of an unreachable home grants at once
 *   BREAK_REPLACE the same for the successor of a replaced home
 *   BREAK_SHARE   a home ignores that members are unreachable
 *   BREAK_RETURN  members that return count at once
 *   BREAK_FORMER  a lease of the former, higher limit is used in full
 */

#define FAULTS 3
#define LEASE 3
#define SUSPECT_MIN 1  /* rounds until a home counts lost members no more */
#define SUSPECT_MAX 3
#define DETECT_MIN 2   /* rounds until a home is unreachable */
#define DETECT_MAX 4
#define WAIT 3
#define RETURN_MAX 2
#define COUNT_AFTER 5
#define JOIN 3
#define FORCE 1  /* rounds until a version is in force everywhere */

byte limit = 4;      /* per round, of the version that is in force */
byte rate_a = 4;     /* as known to each daemon */
byte rate_b = 4;
byte force_left;     /* rounds until the former limit ends */
byte used;           /* in the last round */

bool up = true;
byte faults;
bool alive = true;   /* A runs */
byte young;          /* rounds until the replaced A may be the home */
bool b_sees_a = true;
bool a_sees_b = true; /* neither unreachable nor suspect */
byte apart;          /* rounds since the cut or crash */
byte joined;         /* rounds since the heal */
byte a_count;        /* rounds until B counts as live at A */
byte b_wait;         /* rounds until B may grant as the home */
byte lease; byte lease_left;      /* at B, in fourths of the limit */
byte reserve; byte reserve_left;  /* at A */

byte budget; byte from_a; byte from_b; byte granted;

inline choose(to, most) {
  to = 0;
  do
  :: to < most -> to++
  :: break
  od
}

inline fault() {
  if
  :: true
  :: faults < FAULTS && up && alive && young == 0 && b_sees_a && a_sees_b ->
       up = false; apart = 0; faults++
  :: !up -> up = true; joined = 0; apart = 0
  :: faults < FAULTS && up && alive && young == 0 && b_sees_a ->
       alive = false; apart = 0; faults++; reserve = 0; reserve_left = 0
  :: up && !alive && apart > 0 ->
       /* A new process at the same address: the former one is gone for sure. */
       alive = true; young = JOIN; a_sees_b = true; a_count = 0;
#ifndef BREAK_REPLACE
       b_wait = LEASE;
#endif
       b_sees_a = false
  :: limit == 4 && force_left == 0 -> force_left = FORCE + 1
  fi
}

inline detect() {
  if
  :: !up || !alive -> apart++;
       if
       :: apart >= DETECT_MIN && b_sees_a ->
            if
            :: b_sees_a = false;
#ifndef BREAK_WAIT
               b_wait = WAIT
#endif
            :: apart < DETECT_MAX
            fi
       :: else
       fi;
       if
       :: !up && alive && apart >= SUSPECT_MIN && a_sees_b ->
            if
            :: a_sees_b = false
            :: apart < SUSPECT_MAX
            fi
       :: else
       fi;
       if :: apart > DETECT_MAX -> apart = DETECT_MAX :: else fi
  :: up && alive && young == 0 -> joined++;
       if
       :: !b_sees_a ->
            if
            :: b_sees_a = true
            :: joined < RETURN_MAX
            fi
       :: else
       fi;
       if
       :: !a_sees_b ->
            if
            :: a_sees_b = true;
#ifndef BREAK_RETURN
               a_count = COUNT_AFTER
#endif
            :: joined < RETURN_MAX
            fi
       :: else
       fi;
       if :: joined > RETURN_MAX -> joined = RETURN_MAX :: else fi
  :: else ->
       /* B hands the account back when the new A is known everywhere. */
       young--;
       if
       :: young == 0 -> b_sees_a = true; lease = 0; lease_left = 0; b_wait = 0
       :: else
       fi
  fi
}

inline new_version() {
  if
  :: force_left > 0 -> force_left--;
       if
       :: rate_a = 2
       :: force_left > 0
       fi;
       if
       :: rate_b == 4 ->
            if
            :: rate_b = 2
            :: force_left > 0
            fi
       :: else
       fi;
       if :: force_left == 0 -> limit = 2; rate_a = 2 :: else fi
  :: else
  fi
}

inline use_lease() {
  if
  :: lease_left > 0 ->
#ifdef BREAK_FORMER
       choose(from_b, lease);
#else
       choose(from_b, lease * rate_b / 4);
#endif
       lease_left--
  :: else -> from_b = 0
  fi
}

inline grant() {
  budget = 0;
  if
  :: alive && young == 0 ->
       budget = rate_a;
#ifndef BREAK_SHARE
       if :: !a_sees_b || a_count > 0 -> budget = rate_a / 2 :: else fi
#endif
  :: else
  fi;
  if
  :: up && alive && young == 0 && b_sees_a ->
       /* B asks A. */
       choose(from_b, budget);
       choose(from_a, budget - from_b);
       lease = from_b * 4 / rate_a; lease_left = LEASE;
       reserve = from_b; reserve_left = LEASE
  :: else ->
#ifndef BREAK_LEASE
       if
       :: reserve_left > 0 && budget > 0 ->
            if
            :: rate_a <= reserve -> budget = 0
            :: rate_a > reserve && budget > rate_a - reserve ->
                 budget = rate_a - reserve
            :: else
            fi
       :: else
       fi;
#endif
       if :: reserve_left > 0 -> reserve_left-- :: else fi;
       choose(from_a, budget);
       if
       :: !b_sees_a && b_wait == 0 -> choose(granted, rate_b / 2)
       :: else -> granted = 0
       fi;
       /* Other daemons than the new home may still use their leases. */
       use_lease();
       from_b = from_b + granted
  fi;
  if :: b_wait > 0 -> b_wait-- :: else fi;
  if :: a_count > 0 -> a_count-- :: else fi;
  used = from_a + from_b
}

active proctype Rounds() {
  do
  :: atomic { fault(); detect(); new_version(); grant() }
  od
}

ltl within_limit { [] (used <= limit) }

/*
 * The start of one run at a worker: its agent says "refused" only if the run
 * has not started and never will. The worker restarts under its name, answers
 * are lost, and a start is executed at any later moment of the incarnation that
 * it was ordered at.
 *
 * A list is requested and answered in one step; that a list from before a stop
 * proves nothing is left to the tests.
 *
 * Variants, read by util/check-models:
 *   NAME                      EXPECTED  MEANING
 * variant: none               pass      the protocol; two restarts
 * variant: REACH_START        refuted   a run does start
 * variant: REACH_REFUSAL      refuted   a list does show that a run was refused
 * variant: REACH_LATE_REJECTION refuted a rejection by an earlier incarnation
 *                                       does count
 * variant: REACH_UNCONFIRMED  refuted   a start does stay unconfirmed
 * variant: ANY_INCARNATION    refuted   takes the list of a later incarnation
 *                                       as evidence
 * variant: NO_STOP            refuted   takes a list without a stop before it as
 *                                       evidence
 */

#define RESTARTS 2

mtype = { waiting, accepted, rejected, lost };

/* The worker. A restart resets all but the number of its incarnation. */
byte incarnation = 0;
bool is_running = false;
bool is_ended = false;
bool is_barred = false;  /* A stop came first. */

/* The order to start, and its answer as the agent sees it. */
byte ordered_at = 0;
bool is_sent = false;
mtype answer = waiting;

bool has_started = false;
bool is_refused = false;

proctype worker()
{
end:
  do
  :: atomic {
       (is_sent && incarnation == ordered_at && !is_barred) ->
         is_sent = false;
         is_running = true;
         has_started = true;
         assert(!is_refused);
#ifdef REACH_START
         assert(false);
#endif
         if
         :: answer == waiting -> answer = accepted
         :: answer = lost
         fi
     }
  :: atomic {  /* It is unhealthy, or a stop came first. */
       (is_sent && incarnation == ordered_at) ->
         is_sent = false;
         if
         :: answer == waiting -> answer = rejected
         :: answer = lost
         fi
     }
  :: atomic {  /* The connection does not lead to the incarnation. */
       (is_sent && incarnation != ordered_at) ->
         is_sent = false;
         if
         :: answer == waiting -> answer = rejected
         :: answer = lost
         fi
     }
  :: atomic { (is_sent && answer == waiting) -> answer = lost }
  :: atomic { is_running -> is_running = false; is_ended = true }
  :: atomic {
       incarnation < RESTARTS ->
         incarnation++;
         is_running = false;
         is_ended = false;
         is_barred = false
     }
  od
}

#ifdef ANY_INCARNATION
#define IS_EVIDENCE true
#else
#define IS_EVIDENCE (known == ordered_at)
#endif
#ifdef NO_STOP
#define MAY_CONCLUDE true
#else
#define MAY_CONCLUDE is_revoked
#endif

proctype agent()
{
  byte known = 0;
  bool is_revoked = false;
  is_sent = true;
  do
  :: answer == accepted -> break
  :: atomic {  /* The next incarnation has reported and confirmed it. */
       known < incarnation -> known = incarnation; is_revoked = false
     }
  :: atomic {
       answer == rejected ->
         is_refused = true;
         assert(!has_started);
#ifdef REACH_LATE_REJECTION
         assert(known == ordered_at);
#endif
         break
     }
  :: atomic {  /* Without an answer a stop is ordered first. */
       (answer == lost && known == incarnation) ->
         is_barred = true;
         is_revoked = true
     }
  :: atomic {
       (answer == lost && known == incarnation && MAY_CONCLUDE) ->
         if
         :: (is_running || is_ended) -> skip
         :: (!is_running && !is_ended && IS_EVIDENCE) ->
              is_refused = true;
              assert(!has_started);
#ifdef REACH_REFUSAL
              assert(false)
#endif
         :: (!is_running && !is_ended && !IS_EVIDENCE) ->
#ifdef REACH_UNCONFIRMED
              assert(false)
#else
              skip
#endif
         fi;
         break
     }
  od
}

init { atomic { run worker(); run agent() } }

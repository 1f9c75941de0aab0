/*
 * At-most-once start of one task: allotment in the log, agent incarnations,
 * terms, leader changes, agent restarts, lost, delayed and duplicated
 * messages.
 *
 * A message that was sent may arrive any number of times, at any later moment
 * or never. The replicated log is one committed value that only the newest
 * leader can change; an entry that an older leader left uncommitted is kept or
 * dropped by the next one. spec/replication.pml covers the log itself.
 *
 * Variants, read by util/check-models:
 *   NAME                      EXPECTED  MEANING
 * variant: none               pass      the protocol; three terms, one agent
 *                                       restarts
 * variant: BOTH_RESTART       pass      two terms, both agents restart
 * variant: NO_TERM_CHECK      pass      agents accept starts of older terms;
 *                                       incarnation and refusal suffice
 * variant: REACH_START        refuted   a task does start
 * variant: REACH_REALLOT      refuted   a task does start after a reallotment
 * variant: NO_DUPLICATE_CHECK refuted   an agent starts at each message
 * variant: NO_INCARNATION_CHECK refuted an agent accepts starts for an older
 *                                       incarnation
 * variant: NO_REFUSAL         refuted   an agent may start after "not run"
 * variant: TRUST_OWN_MEMORY   refuted   a new leader takes "I never sent it"
 *                                       as enough for an inherited allotment
 * variant: REALLOT_WHEN_GONE  refuted   reallots when the incarnation is gone
 * variant: SEND_BEFORE_COMMIT refuted   sends to the new agent before the
 *                                       reallotment is committed
 * variant: SEND_AFTER_PROPOSAL refuted  sends to the old agent after it
 *                                       proposed the reallotment
 * variant: ANY_CONFIRMATION   refuted   takes "not run" from another
 *                                       incarnation
 * variant: NOT_RUN_WHEN_GONE  refuted   answers "not run" when the incarnation
 *                                       is gone
 * variant: SEND_AFTER_END     refuted   sends after it proposed the end
 */

/* Two agents that restart and three terms together take over a minute. */
#ifdef BOTH_RESTART
#define TERMS 2
#define MAY_RESTART(id) true
#else
#define TERMS 3
#define MAY_RESTART(id) ((id) == 0)
#endif
#define AGENTS 2
#define INCARNATIONS 2

/* Index of an allotment: agent and incarnation. */
#define PLACE(agent, inc) ((agent) * INCARNATIONS + (inc))
#define PLACES 4
#define AGENT_OF(place) ((place) / INCARNATIONS)
#define INCARNATION_OF(place) ((place) % INCARNATIONS)
#define NOWHERE PLACES

byte starts = 0;
bool reallotted = false;
bool answered_not_run = false;

/* Agents. */
byte incarnation[AGENTS];
bool started[AGENTS];
bool refuses[AGENTS];
byte seen_term[AGENTS];

/* Messages that were sent. */
bool start_sent[12];  /* term * PLACES + place */
bool not_run_sent[PLACES];

/* Log. An end entry that is proposed has the place NOWHERE. */
byte newest = 0;  /* newest elected leader; leader t has term t */
byte allotted = 0;
bool has_ended = false;
bool has_pending = false;
byte pending = 0;

/* What each leader knows. */
byte known[TERMS];
bool may_be_sent[TERMS];
bool has_proposed[TERMS];
bool knows_end[TERMS];

#ifdef NO_INCARNATION_CHECK
#define FITS_INCARNATION(id, place) true
#else
#define FITS_INCARNATION(id, place) (INCARNATION_OF(place) == incarnation[id])
#endif
#ifdef NO_DUPLICATE_CHECK
#define IS_FIRST(id) true
#else
#define IS_FIRST(id) (!started[id])
#endif
#ifdef NO_REFUSAL
#define ALLOWS(id) true
#else
#define ALLOWS(id) (!refuses[id])
#endif
#ifdef NO_TERM_CHECK
#define FITS_TERM(id, term) true
#else
#define FITS_TERM(id, term) ((term) >= seen_term[id])
#endif

proctype agent(byte id)
{
  byte term, place;
  do
  :: atomic {  /* A start arrives; others are ignored without effect. */
       term = 0;
       do
       :: term < TERMS - 1 -> term++
       :: break
       od;
       if
       :: place = PLACE(id, 0)
       :: place = PLACE(id, 1)
       fi;
       if
       :: (start_sent[term * PLACES + place] && FITS_INCARNATION(id, place) && IS_FIRST(id) && ALLOWS(id) && FITS_TERM(id, term)) ->
            started[id] = true;
            seen_term[id] = term;
            starts++;
            assert(starts <= 1);
            assert(!answered_not_run);
#ifdef REACH_START
            assert(false);
#endif
#ifdef REACH_REALLOT
            assert(!reallotted);
#endif
       :: else -> skip
       fi;
       term = 0;
       place = 0
     }
  :: atomic {  /* Asked about the task, by whichever leader. */
       !started[id] -> refuses[id] = true;
       not_run_sent[PLACE(id, incarnation[id])] = true
     }
  :: atomic {
       (MAY_RESTART(id) && incarnation[id] < INCARNATIONS - 1) ->
         incarnation[id]++;
         started[id] = false;
         refuses[id] = false;
         seen_term[id] = 0
     }
  od
}

/* True if the task cannot have started and will not at the known place. */
#ifdef ANY_CONFIRMATION
#define CONFIRMED(t) (not_run_sent[PLACE(AGENT_OF(known[t]), 0)] \
                      || not_run_sent[PLACE(AGENT_OF(known[t]), 1)])
#else
#define CONFIRMED(t) not_run_sent[known[t]]
#endif
#define IS_GONE(t) (incarnation[AGENT_OF(known[t])] != INCARNATION_OF(known[t]))

#ifdef REALLOT_WHEN_GONE
#define MAY_REALLOT(t) (!may_be_sent[t] || CONFIRMED(t) || IS_GONE(t))
#else
#define MAY_REALLOT(t) (!may_be_sent[t] || CONFIRMED(t))
#endif
#ifdef NOT_RUN_WHEN_GONE
#define MAY_END(t) (!may_be_sent[t] || CONFIRMED(t) || IS_GONE(t))
#else
#define MAY_END(t) (!may_be_sent[t] || CONFIRMED(t))
#endif

#ifdef SEND_AFTER_PROPOSAL
#define MAY_SEND(t) !knows_end[t]
#else
#ifdef SEND_AFTER_END
#define MAY_SEND(t) (!has_proposed[t] || pending == NOWHERE)
#else
#define MAY_SEND(t) (!has_proposed[t] && !knows_end[t])
#endif
#endif

inline commit()
{
  has_pending = false;
  if
  :: pending == NOWHERE ->
       has_ended = true;
       answered_not_run = true;
       assert(starts == 0)
  :: else ->
       allotted = pending;
       reallotted = true
  fi
}

proctype leader(byte t)
{
  byte other;
  newest == t;
  do
  :: atomic {  /* Also a leader that is deposed and does not know it. */
       MAY_SEND(t) ->
         start_sent[t * PLACES + known[t]] = true;
         may_be_sent[t] = true
     }
#ifdef SEND_BEFORE_COMMIT
  :: atomic {
       has_proposed[t] && has_pending && newest == t && pending != NOWHERE ->
         start_sent[t * PLACES + pending] = true
     }
#endif
  :: atomic {
       newest == t && !has_proposed[t] && !knows_end[t] && MAY_REALLOT(t) ->
         other = 1 - AGENT_OF(known[t]);
         pending = PLACE(other, incarnation[other]);
         has_pending = true;
         has_proposed[t] = true
     }
  :: atomic {
       newest == t && !has_proposed[t] && !knows_end[t] && MAY_END(t) ->
         pending = NOWHERE;
         has_pending = true;
         has_proposed[t] = true
     }
  :: atomic {
       newest == t && has_pending && has_proposed[t] ->
         commit();
         has_proposed[t] = false;
         known[t] = allotted;
         knows_end[t] = has_ended;
         may_be_sent[t] = false
     }
  od
}

proctype elections()
{
  do
  :: atomic {
       newest < TERMS - 1 ->
         if
         :: has_pending -> commit()
         :: has_pending = false
         fi;
         newest++;
         known[newest] = allotted;
         knows_end[newest] = has_ended;
#ifdef TRUST_OWN_MEMORY
         may_be_sent[newest] = false
#else
         may_be_sent[newest] = true
#endif
     }
  :: newest == TERMS - 1 -> break
  od
}

init
{
  byte each = 0;
  atomic {
    do
    :: each < AGENTS -> run agent(each); each++
    :: else -> break
    od;
    each = 0;
    do
    :: each < TERMS -> run leader(each); each++
    :: else -> break
    od;
    run elections()
  }
}

/*
 * Configuration: compare-and-set of the version by operators that hold equal
 * numbers and resend, pushes, leases and a cut-off old leader.
 *
 * Messages may arrive any number of times, at any later moment or never. Time
 * is counted in ticks; an age is the time since a moment and stops at LIMIT.
 * Leader 0 is elected first and can be cut off at any moment; from then on
 * leader 1 commits. One process serves under a lease and may be restarted from
 * an old copy of the configuration.
 *
 * Properties: each version comes from one request; an operator is never told
 * two outcomes; a process never goes back to a smaller version; no process
 * serves by a version that was replaced more than QUORUM + LEASE ticks ago.
 *
 * The operators and the leases share only the version, so each half is checked
 * alone: the leases with changes at any moment, the operators without time.
 *
 * Variants, read by util/check-models:
 *   NAME                      EXPECTED  MEANING
 * variant: none               pass      leases and pushes
 * variant: OPERATORS          pass      compare-and-set and resends
 * variant: REACH_SECOND       refuted   version 2 is served
 * variant: NO_COMPARE         refuted   changes are accepted at any version
 * variant: COMPARE_AT_PROPOSAL refuted  the version is compared before the
 *                                       entry is committed
 * variant: NO_REQUEST_ID      refuted   a resend is taken for a new request
 * variant: PUSH_OVERWRITES    refuted   a late push replaces a newer version
 * variant: NO_LEASE           refuted   a process serves without a lease
 * variant: LEASE_FROM_RECEIPT refuted   the lease starts when the answer comes
 * variant: LEASE_WITHOUT_VERSION refuted a renewal does not name the version
 * variant: RESTART_KEEPS_LEASE refuted  a restarted process serves at once
 * variant: NO_QUORUM_CHECK    refuted   a cut-off leader goes on answering
 * variant: QUORUM_FROM_RECEIPT refuted  the quorum counts from the receipt of
 *                                       the answer, not from its question
 * variant: ANSWERS_BEFORE_APPLIED refuted a new leader answers before it has
 *                                       applied what was committed
 * variant: RESTART_REMEMBERS  refuted   a restarted process would have to
 *                                       remember its version; within the bound
 *                                       the old leader can give it the old one
 */

#if defined(NO_COMPARE) || defined(COMPARE_AT_PROPOSAL) || defined(NO_REQUEST_ID)
#define OPERATORS
#endif

#define QUORUM 1
#define LEASE 2
#define BOUND (QUORUM + LEASE)
#define LIMIT (BOUND + 1)
#define REQUESTS 3

/* Log, decided by the newest leader. */
byte newest = 0;
byte version = 0;
byte outcome[REQUESTS];  /* 0 unknown, 1 accepted, 2 refused */
bool proposed[REQUESTS];
bool compared[REQUESTS];
byte accepted_at[REQUESTS];  /* version that was accepted, 0 for none */
byte age_of_commit = LIMIT;  /* of the current version */
byte age_before = LIMIT;     /* of the version before it */

/* Operators. Requests 0 and 1 expect version 0, request 2 expects 1. */
#define EXPECTED(request) ((request) / 2)
bool was_accepted[REQUESTS];  /* the operator was told so */
bool was_refused[REQUESTS];

/* Leaders. */
byte in_force[2];
byte question_age[2];
bool has_question[2];
byte quorum_age[2];

/* Messages to the process: pushed versions, one renewal and its answer. */
bool pushed[3];
bool has_renewal = false;
byte renewal_age = 0;
bool has_answer = false;
byte answer_version = 0;

/* The process. */
byte held = 0;
bool has_lease = false;
byte lease_age = LIMIT;
byte served = 0;

#define OLDER(age) age = (age < LIMIT -> age + 1 : LIMIT)

inline change()
{
  version++;
  age_before = age_of_commit;
  age_of_commit = 0;
  in_force[newest] = version;
  pushed[version] = true
}

proctype changes()
{
  do
  :: atomic {
       version < 2 -> change()
     }
  od
}

inline accept(request)
{
  assert(accepted_at[request] == 0);
  change();
  accepted_at[request] = version;
  outcome[request] = 1;
  /* Each version comes from a request that expected the one before. */
  assert(EXPECTED(request) + 1 == version)
}

proctype operators()
{
  byte request = 0;
  do
  :: atomic {  /* A request or a resend reaches the leader. */
       request = 0;
       do
       :: request < REQUESTS - 1 -> request++
       :: break
       od;
       if
       :: (!proposed[request] && version < 2) ->
            proposed[request] = true;
            compared[request] = (EXPECTED(request) == version)
       :: else -> skip
       fi;
       request = 0
     }
  :: atomic {  /* The entry is committed and applied. */
       request = 0;
       do
       :: request < REQUESTS - 1 -> request++
       :: break
       od;
       if
       :: (proposed[request] && version < 2) ->
            proposed[request] = false;
            if
#ifndef NO_REQUEST_ID
            :: outcome[request] != 0 -> skip
#endif
#ifdef NO_COMPARE
            :: outcome[request] == 0 -> accept(request)
#else
#ifdef COMPARE_AT_PROPOSAL
            :: (outcome[request] == 0 && compared[request]) -> accept(request)
            :: (outcome[request] == 0 && !compared[request]) -> outcome[request] = 2
#else
            :: (outcome[request] == 0 && EXPECTED(request) == version) -> accept(request)
            :: (outcome[request] == 0 && EXPECTED(request) != version) -> outcome[request] = 2
#endif
#endif
#ifdef NO_REQUEST_ID
            :: outcome[request] != 0 ->
                 outcome[request] = (EXPECTED(request) == version -> 1 : 2)
#endif
            fi
       :: else -> skip
       fi;
       request = 0
     }
  :: atomic {  /* The operator is answered. */
       request = 0;
       do
       :: request < REQUESTS - 1 -> request++
       :: break
       od;
       if
       :: outcome[request] == 1 -> was_accepted[request] = true
       :: outcome[request] == 2 -> was_refused[request] = true
       :: else -> skip
       fi;
       assert(!(was_accepted[request] && was_refused[request]));
       request = 0
     }
  od
}

#ifdef NO_QUORUM_CHECK
#define HAS_QUORUM(l) true
#else
#define HAS_QUORUM(l) (quorum_age[l] <= QUORUM)
#endif

proctype leader(byte l)
{
  newest >= l;
  do
  :: atomic {  /* Asks the quorum; a follower that has voted for a newer
                  leader does not answer. */
       (newest == l && !has_question[l]) ->
         has_question[l] = true;
         question_age[l] = 0
     }
  :: atomic {
       has_question[l] ->
         has_question[l] = false;
#ifdef QUORUM_FROM_RECEIPT
         quorum_age[l] = 0
#else
         quorum_age[l] = question_age[l]
#endif
     }
  :: atomic {
       (has_renewal && !has_answer && HAS_QUORUM(l)) ->
         has_answer = true;
         answer_version = in_force[l]
     }
  od
}

proctype election()
{
  atomic {
    newest == 0 -> newest = 1;
#ifndef ANSWERS_BEFORE_APPLIED
    in_force[1] = version;
#endif
    quorum_age[1] = 0
  }
}

#ifdef NO_LEASE
#define MAY_SERVE (lease_age <= LIMIT)
#else
#define MAY_SERVE (has_lease && lease_age <= LEASE)
#endif

proctype process()
{
  byte pushed_version = 0;
  do
  :: atomic {
       !has_renewal ->
         has_renewal = true;
         renewal_age = 0
     }
  :: atomic {
       has_answer ->
         has_answer = false;
         has_renewal = false;
         has_lease = true;
#ifdef LEASE_FROM_RECEIPT
         lease_age = 0;
#else
         lease_age = renewal_age;
#endif
#ifndef LEASE_WITHOUT_VERSION
         held = (answer_version > held -> answer_version : held);
#endif
         renewal_age = 0;
         answer_version = 0
     }
  :: atomic {  /* The renewal or its answer is lost. */
       has_renewal ->
         has_renewal = false;
         has_answer = false;
         renewal_age = 0;
         answer_version = 0
     }
  :: atomic {
       if
       :: pushed[1] -> pushed_version = 1
       :: pushed[2] -> pushed_version = 2
       fi;
#ifdef PUSH_OVERWRITES
       held = pushed_version;
#else
       held = (pushed_version > held -> pushed_version : held);
#endif
       pushed_version = 0
     }
  :: atomic {
       MAY_SERVE ->
         /* A version never comes back. */
         assert(held >= served);
         served = held;
         /* The version after the held one was committed at most BOUND ago. */
         assert(held == version || (held + 1 == version && age_of_commit <= BOUND) || (held + 2 == version && age_before <= BOUND));
#ifdef REACH_SECOND
         assert(held != 2)
#endif
     }
  :: atomic {  /* Restart from an old copy, with a new incarnation. */
       held = 0;
#ifndef RESTART_REMEMBERS
       served = 0;
#endif
       has_renewal = false;
       has_answer = false;
       renewal_age = 0;
       answer_version = 0;
#ifndef RESTART_KEEPS_LEASE
       has_lease = false;
       lease_age = LIMIT
#endif
     }
  od
}

proctype clock()
{
  do
  :: atomic {
       OLDER(age_of_commit);
       OLDER(age_before);
       OLDER(quorum_age[0]);
       OLDER(quorum_age[1]);
       if
       :: has_question[0] -> OLDER(question_age[0])
       :: else -> question_age[0] = 0
       fi;
       if
       :: has_question[1] -> OLDER(question_age[1])
       :: else -> question_age[1] = 0
       fi;
       if
       :: has_renewal -> OLDER(renewal_age)
       :: else -> skip
       fi;
       OLDER(lease_age)
     }
  od
}

init
{
  atomic {
#ifdef OPERATORS
    run operators()
#else
    run changes();
    run leader(0);
    run leader(1);
    run election();
    run process();
    run clock()
#endif
  }
}

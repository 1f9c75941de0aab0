/*
 * The replicated log: votes, appends, syncs, crashes, and the replacement of
 * a lost member by a new identity, one voter at a time.
 *
 * Nodes 0, 1 and 2 found the group. Node 3 is the identity that a new disk
 * gets; it first is a learner, then a voter. The membership goes from
 * {0, 1, 2} over {0, 1} with learner 3 to {0, 1, 3}.
 *
 * A message stays available to its receiver for ever once it is sent, and
 * need never be taken. This covers loss, delay, reordering, duplication and
 * partitions.
 *
 * What a follower or candidate does waits for a sync before it is answered, so
 * a crash before the sync is the same as if it had not happened, and a late
 * sync the same as a late message. Its steps are therefore durable at once.
 * Only the leader sends entries before its own sync: its log in memory is what
 * it has sent in its term, and a crash may lose the end of it.
 *
 * Only node 0 stands for election in term 1. Nodes 0 and 1 are alike, so this
 * leaves out only a first leader 2 and a split vote in term 1; term 2 is open
 * to all.
 *
 * options: -O3 -DNOREDUCE
 *
 * variant: none               pass     two terms, lost disks and changes
 * variant: FIXED              pass     three terms, no lost disk, no change
 * variant: ALTERNATE          pass     FIXED, four terms, nodes 0 and 1 stand
 *                                      for election in turn
 * variant: ACK_BEFORE_SYNC    refuted  acknowledges before the sync
 * variant: COUNT_BEFORE_SYNC  refuted  the leader counts unsynced entries
 * variant: VOTE_BEFORE_SYNC   refuted  answers a vote before the sync
 * variant: NO_LOG_CHECK       refuted  votes whatever the candidate's log
 * variant: KEEP_IDENTITY      refuted  an emptied disk keeps its identity
 * variant: REPLACE_AT_ONCE    refuted  two voters change in one step
 * variant: UNCOMMITTED_CHANGE refuted  a change follows an uncommitted one
 * variant: COMMIT_OLD_TERM    refuted  ALTERNATE, commits entries of earlier
 *                                      terms by counting
 */

/* An entry of an earlier term is lost only over four terms. */
#ifdef COMMIT_OLD_TERM
#define ALTERNATE
#endif
#ifdef ALTERNATE
#define FIXED
#define TERMS 4
#define LENGTH 2
#elif defined(FIXED)
#define TERMS 3
#define LENGTH 3
#else
#define TERMS 2
#define LENGTH 4
#endif
#define NODES 4
#ifdef FIXED
#define LAST_NODE 2
#else
#define LAST_NODE 3
#endif
#define NOBODY 7

/* An entry is its term times 4 plus its kind; 0 means none. Kind 1 removes
 * voter 2 and lists learner 3, kind 2 makes node 3 a voter. */
#define TERM_OF(entry) ((entry) >> 2)
#define KIND_OF(entry) ((entry) & 3)

#ifdef ALTERNATE
#define MAY_STAND(n) ((n) < 2)
#else
#define MAY_STAND(n) true
#endif
#ifdef NO_LOG_CHECK
#define IS_CURRENT(request) true
#else
#define IS_CURRENT(request) ((request) > last * 8 + size)
#endif
#ifdef COMMIT_OLD_TERM
#define IS_COUNTABLE(entry_term, t) true
#else
#define IS_COUNTABLE(entry_term, t) ((entry_term) == (t))
#endif
#ifdef UNCOMMITTED_CHANGE
#define MAY_PROMOTE(t) true
#else
#define MAY_PROMOTE(t) (kind_at <= terms[t].commit && \
                        terms[t].matched[3] >= kind_at)
#endif

typedef log { byte at[LENGTH] };
typedef node {
    byte term; byte vote;
    log entries;                /* synced */
    byte role;                  /* 0 follower, 1 candidate, 2 leader */
    bool dead
};
typedef term_state {
    byte request[NODES];        /* last term * 8 + length + 1 of a candidate */
    byte granted[NODES];        /* who voted for that candidate */
    byte leader; log sent;      /* what the leader of the term has sent */
    byte matched[NODES];        /* acknowledged length */
    byte commit
};

node nodes[NODES];
term_state terms[TERMS + 1];    /* index 0 is not used */
log committed;

/* Scratch variables, 0 between steps. */
hidden byte i, k, last, size, kind, kind_at, voters, votes, fresh,
            reach, who;

/* Length, last term and last membership of a log. */
inline measure(l) {
    size = 0; last = 0; kind = 0; kind_at = 0;
    do
    :: size < LENGTH && l.at[size] != 0 ->
        last = TERM_OF(l.at[size]);
        if :: KIND_OF(l.at[size]) != 0 ->
            kind = KIND_OF(l.at[size]); kind_at = size + 1
        :: else fi;
        size++
    :: else -> break
    od;
    voters = (kind == 0 -> 7 : (kind == 1 -> 3 : 11))
}

inline copy(from, to) {
    i = 0;
    do :: i < LENGTH -> to.at[i] = from.at[i]; i++ :: else -> break od
}

/* Sets votes to 1 if the nodes in the mask are a majority of the voters. */
inline count(mask) {
    votes = 0; k = 0; i = 0;
    do
    :: i < NODES ->
        k = k + ((voters >> i) & 1);
        votes = votes + (((voters & mask) >> i) & 1);
        i++
    :: else -> break
    od;
    votes = (2 * votes > k -> 1 : 0)
}

inline adopt(n, t) {
    if :: t > nodes[n].term ->
        nodes[n].term = t; nodes[n].vote = NOBODY; nodes[n].role = 0
    :: else fi
}

inline campaign(n, t) {
    measure(nodes[n].entries);
    if :: (voters >> n) & 1 ->
        nodes[n].term = t; nodes[n].vote = n; nodes[n].role = 1;
        terms[t].request[n] = last * 8 + size + 1;
        terms[t].granted[n] = 1 << n
    :: else fi
}

inline acknowledge(n, t, l) {
    k = 0;
    do
    :: k < LENGTH && l.at[k] != 0 && l.at[k] == terms[t].sent.at[k] -> k++
    :: else -> break
    od;
    if :: k > terms[t].matched[n] -> terms[t].matched[n] = k :: else fi
}

/* Without a vote nothing happens: a node that only takes over a term could
 * do less afterwards, so no violation is missed. */
inline give_vote(n, c, t) {
    measure(nodes[n].entries);
    /* Only a listed node votes: a learner does, a stranger does not. */
    if :: ((voters >> n) & 1 || (n == 3 && kind == 1)) &&
          (t > nodes[n].term || nodes[n].vote == NOBODY) &&
          IS_CURRENT(terms[t].request[c]) ->
        adopt(n, t);
        terms[t].granted[c] = terms[t].granted[c] | (1 << n);
#ifndef VOTE_BEFORE_SYNC
        nodes[n].vote = c
#endif
    :: else fi
}

inline propose(n, t, what) {
    terms[t].sent.at[size] = t * 4 + what;
#ifdef COUNT_BEFORE_SYNC
    terms[t].matched[n] = size + 1
#endif
}

/* The leader's own write reaches the disk. */
inline sync(n, t) {
    copy(terms[t].sent, nodes[n].entries);
    acknowledge(n, t, nodes[n].entries)
}

inline lead(n, t) {
    measure(nodes[n].entries);
    count(terms[t].granted[n]);
    if :: votes && size < LENGTH ->
        /* One leader in a term. */
        assert(terms[t].leader == NOBODY);
        /* It holds what earlier terms have committed. */
        i = 1; reach = 0;
        do
        :: i < t ->
            if :: terms[i].commit > reach -> reach = terms[i].commit
            :: else fi;
            i++
        :: else -> break
        od;
        k = 0;
        do
        :: k < reach ->
            assert(committed.at[k] == nodes[n].entries.at[k]); k++
        :: else -> break
        od;
        nodes[n].role = 2;
        terms[t].leader = n;
        copy(nodes[n].entries, terms[t].sent);
        propose(n, t, 0)
    :: else fi
}

inline change_members(n, t) {
    measure(terms[t].sent);
    if
    :: size == LENGTH || terms[t].commit == 0 -> skip
#ifdef REPLACE_AT_ONCE
    :: size < LENGTH && kind == 0 && terms[t].commit > 0 -> propose(n, t, 2)
#else
    :: size < LENGTH && kind == 0 && terms[t].commit > 0 -> propose(n, t, 1)
    :: size < LENGTH && kind == 1 && terms[t].commit > 0 &&
       MAY_PROMOTE(t) -> propose(n, t, 2)
    :: size < LENGTH && kind == 1 && !MAY_PROMOTE(t) -> skip
#endif
    :: size < LENGTH && kind == 2 -> skip
    fi
}

/* The leader counts acknowledgements at once: a later count could only leave
 * fewer entries to check. */
inline advance_commit(n, t) {
    measure(terms[t].sent);
    reach = size;
    do
    :: reach > terms[t].commit &&
       IS_COUNTABLE(TERM_OF(terms[t].sent.at[reach - 1]), t) ->
        fresh = 0; i = 0;
        do
        :: i < NODES ->
            if :: terms[t].matched[i] >= reach -> fresh = fresh | (1 << i)
            :: else fi;
            i++
        :: else -> break
        od;
        count(fresh);
        if :: votes -> break :: else -> reach-- fi
    :: else -> reach = 0; break
    od;
    if :: reach > 0 ->
        terms[t].commit = reach;
        k = 0;
        do
        :: k < reach ->
            /* A committed entry never changes, and later leaders hold it. */
            assert(committed.at[k] == 0 ||
                   committed.at[k] == terms[t].sent.at[k]);
            i = t + 1;
            do
            :: i <= TERMS ->
                assert(terms[i].leader == NOBODY ||
                       terms[i].sent.at[k] == terms[t].sent.at[k]);
                i++
            :: else -> break
            od;
            committed.at[k] = terms[t].sent.at[k];
            k++
        :: else -> break
        od
    :: else fi
}

/* Counts for the leader of the term if it still leads. */
inline notify(t) {
    if :: t > 0 && terms[t].leader != NOBODY ->
        who = terms[t].leader;
        if :: nodes[who].role == 2 && nodes[who].term == t ->
            advance_commit(who, t)
        :: else fi
    :: else fi
}

/* Takes the next entry that the leader of a term has sent. */
inline accept(n, t) {
    k = 0;
    do
    :: k < LENGTH && terms[t].sent.at[k] != 0 &&
       nodes[n].entries.at[k] == terms[t].sent.at[k] -> k++
    :: else -> break
    od;
    if
    :: k < LENGTH && terms[t].sent.at[k] != 0 ->
        adopt(n, t);
        nodes[n].role = 0;
#ifdef ACK_BEFORE_SYNC
        if :: terms[t].matched[n] <= k -> terms[t].matched[n] = k + 1
        :: else fi
#else
        nodes[n].entries.at[k] = terms[t].sent.at[k];
        i = k + 1;
        do
        :: i < LENGTH -> nodes[n].entries.at[i] = 0; i++
        :: else -> break
        od
#endif
        acknowledge(n, t, nodes[n].entries)
    :: (k == LENGTH || terms[t].sent.at[k] == 0) && k > terms[t].matched[n] ->
        adopt(n, t);
        nodes[n].role = 0;
        acknowledge(n, t, nodes[n].entries)
    :: else fi
}

/* The disk of node 2 is lost; that of node 1 too once node 3 is a voter. */
inline lose(n) {
    measure(committed);
    if :: n == 2 || (n == 1 && nodes[2].dead && kind == 2) ->
#ifdef KEEP_IDENTITY
        i = 0;
        do :: i < LENGTH -> nodes[n].entries.at[i] = 0; i++ :: else -> break od;
        nodes[n].term = 0; nodes[n].vote = NOBODY; nodes[n].role = 0;
#endif
        nodes[n].dead = true
    :: else fi
}

#ifdef KEEP_IDENTITY
#define GONE(n) false
#else
#define GONE(n) nodes[n].dead
#endif

inline clean() {
    i = 0; k = 0; last = 0; size = 0; kind = 0; kind_at = 0; voters = 0;
    votes = 0; fresh = 0; reach = 0; who = 0
}

init {
    byte n = 0, c = 0, t = 0;
    d_step {
        do
        :: n < NODES ->
            nodes[n].vote = NOBODY; n++
        :: else -> break
        od;
        do
        :: t <= TERMS -> terms[t].leader = NOBODY; t++
        :: else -> break
        od;
        n = 0; t = 0
    }
    do
    :: atomic {
        select(n : 0 .. LAST_NODE);
        if :: !GONE(n) -> skip :: else -> goto next fi;
        if
        :: nodes[n].term < TERMS && nodes[n].role != 2 ->
            d_step {
                t = nodes[n].term + 1;
                if :: n != 0 && t == 1 -> t = 2 :: else fi;
#ifdef ALTERNATE
                if :: (t + n) % 2 == 0 -> t++ :: else fi;
#endif
                if :: t <= TERMS && MAY_STAND(n) -> campaign(n, t)
                :: else fi;
                clean()
            }
        :: nodes[n].role != 2 || nodes[n].term < TERMS ->
            select(t : 1 .. TERMS); select(c : 0 .. LAST_NODE);
            if :: c != n && t >= nodes[n].term && terms[t].request[c] != 0 &&
                  !((terms[t].granted[c] >> n) & 1) ->
                d_step { give_vote(n, c, t); clean() }
            :: else fi
        :: nodes[n].role == 1 ->
            d_step { t = nodes[n].term; lead(n, t); notify(t); clean() }
#ifndef FIXED
        :: nodes[n].role == 2 ->
            d_step {
                t = nodes[n].term; change_members(n, t); notify(t); clean()
            }
#endif
        :: nodes[n].role != 2 || nodes[n].term < TERMS ->
            select(t : 1 .. TERMS);
            if :: t >= nodes[n].term && terms[t].leader != NOBODY &&
                  terms[t].leader != n ->
                d_step { accept(n, t); notify(t); clean() }
            :: else fi
        :: nodes[n].role == 2 ->
            d_step { t = nodes[n].term; sync(n, t); notify(t); clean() }
        :: nodes[n].role == 2 -> nodes[n].role = 0      /* crash */
#ifndef FIXED
        :: !nodes[n].dead -> d_step { lose(n); clean() }
#endif
        fi;
next:   n = 0; c = 0; t = 0
    }
    od
}

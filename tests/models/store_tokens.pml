/* Fencing tokens of a store that is restored from older copies. Models platform/token_client.cpp.
 *
 * Three balancers acquire a token each by reading a row and writing it by compare-and-set. A call is executed at
 * one point and answered at a later one, with the era of that time, or its answer is lost. Copies of the store
 * are taken at any points, and restored at any later ones.
 *
 * Properties: no token is given out twice. A token is higher than all that were given out before the row was
 * read. Nobody holds a token between one and its predecessor, if somebody holds the predecessor.
 *
 * Mutants (-D): TOKENS_GO_BACK, ERA_OF_THE_ANSWER, READ_BACK_IN_ANY_ERA, PREDECESSOR_OF_ANY_ERA.
 */
#define RESTORES 2
#define MAX_VERSION 5
#define TOKENS_PER_ERA 8
#define MAX_TOKEN 32

byte era = 1, version = 1, row = 0, writer = 0;
byte copied_version = 1, copied_row = 0, copied_writer = 0;
byte restores = 0;
byte attempts = 0; /* Identifies the value that an attempt writes; 0 is that of no attempt. */

bool given[MAX_TOKEN];
byte predecessor[MAX_TOKEN]; /* Of a token that was given out; 0 if there is none. */
byte highest = 0;            /* Token that was given out. */

#ifdef PREDECESSOR_OF_ANY_ERA
byte row_token = 0, copied_row_token = 0; /* The row states the token that was written with it. */
#define COPY_TOKEN copied_row_token = row_token;
#define RESTORE_TOKEN row_token = copied_row_token;
#define WRITE_TOKEN row_token = TOKEN(known, version);
#define READ_TOKEN previous = row_token;
#define PREDECESSOR previous
#else
#define COPY_TOKEN
#define RESTORE_TOKEN
#define WRITE_TOKEN
#define READ_TOKEN
#define PREDECESSOR (expected == 0 -> 0 : TOKEN(known, expected))
#endif

#ifdef TOKENS_GO_BACK
#define TOKEN(e, v) (v)
#else
#define TOKEN(e, v) ((e) * TOKENS_PER_ERA + (v))
#endif

inline give(token, previous) {
  assert(!given[token]);
  assert(token > highest_before);
  given[token] = true;
  predecessor[token] = previous;
  highest = (token > highest -> token : highest);
  lower = 0;
  do
  :: lower < MAX_TOKEN ->
    if
    :: given[lower] && predecessor[lower] != 0 && given[predecessor[lower]] ->
      between = predecessor[lower] + 1;
      do
      :: between < lower -> assert(!given[between]); between++
      :: else -> break
      od
    :: else
    fi;
    lower++
  :: else -> break
  od;
  lower = 0; between = 0
}

proctype balancer() {
  byte known, expected, mine, written, highest_before, lower, between, answered, previous;
  bool executed;

  atomic { highest_before = highest; expected = row; READ_TOKEN };
  atomic { known = era; attempts++; mine = attempts };
  /* The write is executed, or refused. */
  atomic {
    if
    :: row == expected && version < MAX_VERSION ->
      version++; row = version; writer = mine; WRITE_TOKEN written = version; executed = true
    :: else -> executed = false
    fi
  };
  if
  :: /* The answer arrives. */
    atomic {
      answered = era;
      if
#ifdef ERA_OF_THE_ANSWER
      :: executed -> give(TOKEN(answered, written), PREDECESSOR)
#else
      :: executed && answered == known -> give(TOKEN(known, written), PREDECESSOR)
#endif
      :: else
      fi
    }
  :: /* The answer is lost, and the row is read back. */
    atomic { executed = (row != 0 && writer == mine); written = row };
    atomic {
      answered = era;
      if
#ifdef READ_BACK_IN_ANY_ERA
      :: executed -> give(TOKEN(answered, written), PREDECESSOR)
#else
      :: executed && answered == known -> give(TOKEN(known, written), PREDECESSOR)
#endif
      :: else
      fi
    }
  fi;
}

proctype copies() {
end:
  do
  :: atomic { copied_version = version; copied_row = row; copied_writer = writer; COPY_TOKEN }
  :: atomic {
      restores < RESTORES ->
      version = copied_version; row = copied_row; writer = copied_writer; RESTORE_TOKEN
      era++; restores++
    }
  od
}

init {
  atomic {
    run balancer();
    run balancer();
    run balancer();
    run copies()
  }
}

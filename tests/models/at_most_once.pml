/* A call that may not be repeated. Stands for source/core/idempotency (claim), source/core/entry (service calls)
 * and the attempt table of source/core/agent.
 *
 * Two entries serve the same idempotency key (the caller's retry). The table's answers are lost, entries pause at
 * any point (they are not scheduled), messages to agents are late or lost, and one agent may restart, after which
 * it has forgotten what it has seen but has a new incarnation.
 *
 * Properties: the call runs at most once; an entry that answers not_run is right at that time and for ever, unless
 * another entry has run it under a claim of its own.
 * Mutants (-D): NO_CONDITION, SETTLE_WITHOUT_REFUSAL, RETRY_AFTER_UNKNOWN, IGNORE_INCARNATION, ANY_PROCESS_MAY_RUN.
 */
#define ENTRIES 2
#define AGENTS 2
#define ATTEMPTS 4  /* Numbers 1 to 3. */

/* The row in table `claims`. owner 0: no row. */
byte row_owner, row_agent, row_incarnation, row_attempt, row_version;
bool row_finished;

byte runs;
byte incarnation_of[AGENTS];
bool seen[8];  /* agent * ATTEMPTS + attempt: started, or refused for ever. */
bool ran[8];

/* Submitted attempts under way, in any order: agent, its incarnation that the claim names, attempt, entry. */
chan submitted = [2] of { byte, byte, byte, byte };
/* Answers to an entry: 1 finished, 2 not run. */
chan answers[ENTRIES] = [2] of { byte, byte };

proctype agents() {
  byte a, i, n, e;
  byte restarts = 0;
end:
  do
  :: atomic {
      submitted??a, i, n, e ->
      if
#ifndef ANY_PROCESS_MAY_RUN
      :: i != incarnation_of[a] ->
        if /* agent_restarted: not run. */
        :: nfull(answers[e]) -> answers[e]!n, 2
        :: skip
        fi
#endif
#ifndef ANY_PROCESS_MAY_RUN
      :: i == incarnation_of[a] && seen[a * ATTEMPTS + n] -> skip /* duplicate_attempt: says nothing about the run. */
#else
      :: seen[a * ATTEMPTS + n] -> skip
#endif
      :: else ->
        seen[a * ATTEMPTS + n] = true;
        if
        :: runs++; ran[a * ATTEMPTS + n] = true; assert(runs <= 1);
          if
          :: nfull(answers[e]) -> answers[e]!n, 1
          :: skip /* The answer is lost. */
          fi
        :: if /* Draining or infeasible: refused before the run. */
          :: nfull(answers[e]) -> answers[e]!n, 2
          :: skip
          fi
        fi
      fi
    }
  :: atomic { submitted??a, i, n, e -> skip } /* Lost. */
  :: atomic {
      restarts < 1 -> restarts++;
      /* What was sent to the old process goes with its connections. */
      do
      :: submitted??[0, _, _, _] -> submitted??0, i, n, e
      :: else -> break
      od;
      incarnation_of[0]++;
      n = 0;
      do
      :: n < ATTEMPTS -> seen[n] = false; n++
      :: else -> break
      od
    }
  od
}

proctype entry(byte e) {
  byte agent, attempt, version, kind, owner, inc, n;
  bool finished;

  /* Claim. The entry picks an agent first. */
  if
  :: agent = 0
  :: agent = 1
  fi;
  atomic {
    inc = incarnation_of[agent];
    if
#ifdef NO_CONDITION
    :: true -> row_owner = e + 1; row_agent = agent; row_incarnation = inc; row_attempt = 1; row_version++;
#else
    :: row_owner == 0 ->
      row_owner = e + 1; row_agent = agent; row_incarnation = inc; row_attempt = 1; row_version++
    :: else
#endif
    fi
  };
  /* The answer of the write may be lost, so both cases read the row back; the read may fail. */
  if
  :: goto ended /* Table down: 503 not_run, nothing was sent. */
  :: skip
  fi;
  atomic {
    owner = row_owner; agent = row_agent; inc = row_incarnation; attempt = row_attempt; version = row_version;
    finished = row_finished
  };
  if
  :: owner == e + 1 -> goto send
  :: else -> goto settle
  fi;

send:
  atomic {
    if
    :: nfull(submitted) -> submitted!agent, inc, attempt, e
    :: skip /* Lost. */
    fi
  };
  if
  :: answers[e]?n, kind ->
    if
    :: n != attempt -> goto ended
    :: n == attempt && kind == 1 ->
      atomic {
        if
        :: row_owner == e + 1 && row_version == version -> row_finished = true; row_version++
        :: else
        fi
      };
      goto ended
    :: n == attempt && kind == 2 -> goto move
    fi
  :: goto unknown /* No answer in time. */
  fi;

unknown:
#ifdef RETRY_AFTER_UNKNOWN
  goto move;
#endif
  goto ended;

move:
  /* Only after not_run: move the row to another agent and attempt by compare-and-set. */
  if
  :: attempt + 1 >= ATTEMPTS -> goto ended
  :: else
  fi;
  atomic {
    if
    :: row_version == version && !row_finished ->
      attempt = row_attempt + 1;
      agent = 1 - agent;
      row_owner = e + 1; row_agent = agent; inc = incarnation_of[agent]; row_incarnation = inc; row_attempt = attempt;
      row_version++;
      version = row_version
    :: else -> goto ended
    fi
  };
  goto send;

settle:
  /* Another entry holds the claim. */
  if
  :: finished -> goto ended /* The stored answer. */
  :: else
  fi;
  if
  :: goto ended /* No answer from the agent: unknown. */
  :: skip
  fi;
  atomic {
    if
#ifndef IGNORE_INCARNATION
    :: incarnation_of[agent] != inc -> goto ended /* unknown */
#endif
    :: else ->
      if
      :: seen[agent * ATTEMPTS + attempt] -> goto ended /* Ran, runs, or was refused. */
      :: else ->
#ifndef SETTLE_WITHOUT_REFUSAL
        seen[agent * ATTEMPTS + attempt] = true
#else
        skip
#endif
      fi
    fi
  };
  goto move;

ended:
  skip
}

init {
  atomic {
    run agents();
    run entry(0);
    run entry(1)
  }
}

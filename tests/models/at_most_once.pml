/* A call that may not be repeated. Models source/core/idempotency (claim), source/core/entry (service calls)
 * and the attempt table of source/core/agent.
 *
 * Two entries serve the same idempotency key, because the caller retries. Responses of the table may be lost,
 * entries may be suspended at any point (they are not scheduled), messages to agents may be late or lost, and
 * one agent may restart: it then has lost its attempt table but has a new incarnation.
 *
 * Properties: the call runs at most once; when an entry responds not_run, the call has not run and will not
 * run later, unless another entry runs it under its own claim.
 * Mutants (-D): NO_CONDITION, SETTLE_WITHOUT_REFUSAL, RETRY_AFTER_UNKNOWN, IGNORE_INCARNATION, ANY_PROCESS_MAY_RUN.
 */
#define ENTRIES 2
#define AGENTS 2
#define ATTEMPTS 4  /* Attempts are numbered 1 to 3. */

/* The row of the call in table `claims`. An owner of 0 means that there is no row. */
byte row_owner, row_agent, row_incarnation, row_attempt, row_version;
bool row_finished;

byte runs;
byte incarnation_of[AGENTS];
/* Both are indexed by agent * ATTEMPTS + attempt. */
bool seen[8];  /* The agent has started the attempt, or refuses it permanently. */
bool ran[8];

/* Submitted attempts in transit, received in any order: agent, its incarnation according to the claim,
 * attempt, entry. */
chan submitted = [2] of { byte, byte, byte, byte };
/* Responses to an entry: attempt, and 1 for finished or 2 for not run. */
chan responses[ENTRIES] = [2] of { byte, byte };

proctype agents() {
  byte agent, claimed_incarnation, attempt, entry_number;
  byte restarts = 0;
end:
  do
  :: atomic {
      submitted??agent, claimed_incarnation, attempt, entry_number ->
      if
#ifndef ANY_PROCESS_MAY_RUN
      :: claimed_incarnation != incarnation_of[agent] ->
        if /* agent_restarted: not run. */
        :: nfull(responses[entry_number]) -> responses[entry_number]!attempt, 2
        :: skip
        fi
#endif
#ifndef ANY_PROCESS_MAY_RUN
      :: claimed_incarnation == incarnation_of[agent] && seen[agent * ATTEMPTS + attempt] ->
        skip /* duplicate_attempt: does not state whether it ran. */
#else
      :: seen[agent * ATTEMPTS + attempt] -> skip
#endif
      :: else ->
        seen[agent * ATTEMPTS + attempt] = true;
        if
        :: runs++; ran[agent * ATTEMPTS + attempt] = true; assert(runs <= 1);
          if
          :: nfull(responses[entry_number]) -> responses[entry_number]!attempt, 1
          :: skip /* The response is lost. */
          fi
        :: if /* Draining or infeasible: refused before it runs. */
          :: nfull(responses[entry_number]) -> responses[entry_number]!attempt, 2
          :: skip
          fi
        fi
      fi
    }
  :: atomic { submitted??agent, claimed_incarnation, attempt, entry_number -> skip } /* Lost. */
  :: atomic {
      restarts < 1 -> restarts++;
      /* Messages to the old process are lost with its connections. */
      do
      :: submitted??[0, _, _, _] -> submitted??0, claimed_incarnation, attempt, entry_number
      :: else -> break
      od;
      incarnation_of[0]++;
      attempt = 0;
      do
      :: attempt < ATTEMPTS -> seen[attempt] = false; attempt++
      :: else -> break
      od
    }
  od
}

proctype entry(byte entry_number) {
  byte agent, attempt, version, kind, owner, incarnation, response_attempt;
  bool finished;

  /* Claim. The entry chooses an agent first. */
  if
  :: agent = 0
  :: agent = 1
  fi;
  atomic {
    incarnation = incarnation_of[agent];
    if
#ifdef NO_CONDITION
    :: true ->
      row_owner = entry_number + 1; row_agent = agent; row_incarnation = incarnation; row_attempt = 1;
      row_version++;
#else
    :: row_owner == 0 ->
      row_owner = entry_number + 1; row_agent = agent; row_incarnation = incarnation; row_attempt = 1;
      row_version++
    :: else
#endif
    fi
  };
  /* The response to the write may be lost, so the row is read back in either case; the read may fail. */
  if
  :: goto ended /* The table is unavailable: 503 not_run, nothing was sent. */
  :: skip
  fi;
  atomic {
    owner = row_owner; agent = row_agent; incarnation = row_incarnation; attempt = row_attempt;
    version = row_version; finished = row_finished
  };
  if
  :: owner == entry_number + 1 -> goto send
  :: else -> goto settle
  fi;

send:
  atomic {
    if
    :: nfull(submitted) -> submitted!agent, incarnation, attempt, entry_number
    :: skip /* Lost. */
    fi
  };
  if
  :: responses[entry_number]?response_attempt, kind ->
    if
    :: response_attempt != attempt -> goto ended
    :: response_attempt == attempt && kind == 1 ->
      atomic {
        if
        :: row_owner == entry_number + 1 && row_version == version -> row_finished = true; row_version++
        :: else
        fi
      };
      goto ended
    :: response_attempt == attempt && kind == 2 -> goto move
    fi
  :: goto unknown /* No response within the timeout. */
  fi;

unknown:
#ifdef RETRY_AFTER_UNKNOWN
  goto move;
#endif
  goto ended;

move:
  /* Only after not_run: assigns the call to another agent and attempt by compare-and-set on the row. */
  if
  :: attempt + 1 >= ATTEMPTS -> goto ended
  :: else
  fi;
  atomic {
    if
    :: row_version == version && !row_finished ->
      attempt = row_attempt + 1;
      agent = 1 - agent;
      row_owner = entry_number + 1; row_agent = agent; incarnation = incarnation_of[agent];
      row_incarnation = incarnation; row_attempt = attempt;
      row_version++;
      version = row_version
    :: else -> goto ended
    fi
  };
  goto send;

settle:
  /* Another entry holds the claim: asks the agent to refuse the attempt if it has not started. */
  if
  :: finished -> goto ended /* Responds with the stored response. */
  :: else
  fi;
  if
  :: goto ended /* No response from the agent: unknown. */
  :: skip
  fi;
  atomic {
    if
#ifndef IGNORE_INCARNATION
    :: incarnation_of[agent] != incarnation -> goto ended /* Unknown. */
#endif
    :: else ->
      if
      :: seen[agent * ATTEMPTS + attempt] -> goto ended /* It ran, is running or was refused. */
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

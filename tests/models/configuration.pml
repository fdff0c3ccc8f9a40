/* Configuration rollout. Stands for source/core/operation (apply) and source/core/rollout.
 *
 * Two operators apply a change at the same time by compare-and-set on the head row; the answer of a write may be
 * lost. Processes learn versions from the table or from a peer, in any order; the table goes down; a process
 * restarts and then knows nothing.
 *
 * Properties: each version has one content, for ever; no process goes back while it lives; an operator that is told
 * "conflict" has changed nothing, and one that is told "applied" has its content in the history.
 * An agent does not accept work from an entry with an older version than its own.
 * Mutants (-D): NO_COMPARE, CONFLICT_ON_LOST_ANSWER, ACCEPT_OLDER, NO_VERSION_CHECK.
 */
#define OPERATORS 2
#define PROCESSES 3 /* 0 and 1: entries; 2: agent. */
#define VERSIONS 4

byte head_version;
byte content_of[VERSIONS]; /* Operator that wrote the version; 0: none. */
bool table_down;
byte version[PROCESSES];
byte content[PROCESSES];

proctype operator_process(byte me) {
  byte based_on;
  bool won = false, lost_answer = false;

  atomic { !table_down -> based_on = head_version };
  atomic {
    !table_down ->
    if
#ifdef NO_COMPARE
    :: true ->
#else
    :: head_version == based_on ->
#endif
      head_version = based_on + 1;
      assert(content_of[head_version] == 0);
      content_of[head_version] = me;
      won = true
#ifndef NO_COMPARE
    :: else -> won = false
#endif
    fi;
    if
    :: lost_answer = true
    :: skip
    fi
  };
  if
  :: lost_answer ->
#ifdef CONFLICT_ON_LOST_ANSWER
    assert(!won) /* Reported as a conflict without reading back. */
#else
    /* Read back the token: history keeps the writer of each version. */
    atomic { !table_down -> assert(won == (content_of[based_on + 1] == me)) }
#endif
  :: else -> assert(!won || content_of[based_on + 1] == me)
  fi
}

inline adopt(p, v, w) {
  if
#ifdef ACCEPT_OLDER
  :: v != version[p] ->
#else
  :: v > version[p] ->
#endif
    assert(v >= version[p]);
    version[p] = v;
    content[p] = w;
    assert(content[p] == content_of[v])
  :: else
  fi
}

proctype process(byte me) {
  byte peer, v, w;
  byte restarts = 0;
end:
  do
  :: atomic { me != 2 && !table_down -> v = head_version; w = content_of[head_version] };
    /* The answer is late: the process may have moved on meanwhile. */
    atomic { adopt(me, v, w) }
  :: atomic {
      if
      :: peer = 0
      :: peer = 1
      :: peer = 2
      fi;
      v = version[peer];
      w = content[peer]
    };
    atomic { adopt(me, v, w) }
  :: atomic { restarts < 1 -> restarts++; version[me] = 0; content[me] = 0 }
  od
}

/* An entry sends work with its version; the message may be late. The agent compares before it accepts. */
chan work = [1] of { byte };

proctype entry_sends(byte me) {
  byte i = 0;
end:
  do
  :: i < 2 -> atomic { nfull(work) && version[me] > 0 -> work!version[me] }; i++
  :: else -> break
  od
}

proctype agent_accepts() {
  byte v, own;
end:
  do
  :: atomic {
      work?v ->
      own = version[2];
      if
#ifndef NO_VERSION_CHECK
      :: v < own -> skip /* Refused: stale_configuration. */
#endif
      :: else -> assert(v >= own) /* Accepted; an agent that is behind catches up first. */
      fi
    }
  od
}

proctype platform() {
end:
  do
  :: !table_down -> table_down = true
  :: table_down -> table_down = false
  od
}

init {
  atomic {
    run operator_process(1);
    run operator_process(2);
    run process(0);
    run process(1);
    run process(2);
    run entry_sends(0);
    run agent_accepts();
    run platform()
  }
}

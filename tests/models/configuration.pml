/* Configuration rollout. Stands for source/core/operation (apply) and source/core/rollout.
 *
 * Two operators apply a change at the same time by compare-and-set on the head row; the response of a write may be
 * lost. An entry and an agent learn versions from the table or from each other; responses are late; a process
 * restarts once and then knows nothing. The table being down is the same as not being asked.
 *
 * Properties: each version has one content; no process goes back while it lives; an operator is told "applied"
 * only if its content is in the history, and "conflict" only if it is not; an agent does not accept work from an
 * entry with an older version than its own.
 * Mutants (-D): NO_COMPARE, CONFLICT_ON_LOST_RESPONSE, ACCEPT_OLDER, NO_VERSION_CHECK.
 */
#define PROCESSES 2 /* 0: entry, 1: agent. */
#define VERSIONS 4

byte head_version;
byte content_of[VERSIONS]; /* Operator that wrote the version; 0: none. */
byte version[PROCESSES];
byte content[PROCESSES];

proctype operator_process(byte me) {
  byte based_on;
  bool won = false;

  based_on = head_version;
  atomic {
    if
#ifndef NO_COMPARE
    :: head_version != based_on -> won = false
    :: head_version == based_on ->
#else
    :: true ->
#endif
      assert(content_of[based_on + 1] == 0);
      content_of[based_on + 1] = me;
      head_version = based_on + 1;
      won = true
    fi
  };
  if
  :: skip -> assert(won == (content_of[based_on + 1] == me)) /* The response arrived. */
  :: skip -> /* The response was lost. */
#ifdef CONFLICT_ON_LOST_RESPONSE
    assert(!won)
#else
    assert(won == (content_of[based_on + 1] == me)) /* Read back by the writer's token. */
#endif
  fi
}

inline adopt(p, v, w) {
  atomic {
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
    :: v == version[p] -> assert(v == 0 || content[p] == w)
#ifndef ACCEPT_OLDER
    :: v < version[p] -> skip
#endif
    fi;
    v = 0;
    w = 0
  }
}

proctype process(byte me) {
  byte v = 0, w = 0;
  bool restarted = false;
end:
  do
  :: atomic { v = head_version; w = content_of[head_version] };
    adopt(me, v, w)
  :: atomic { v = version[1 - me]; w = content[1 - me] };
    adopt(me, v, w)
  :: atomic { !restarted -> restarted = true; version[me] = 0; content[me] = 0 }
  od
}

/* Work of the entry with its version; the message may be late. */
chan work = [1] of { byte };

proctype entry_sends() {
end:
  do
  :: atomic { nfull(work) && version[0] > 0 -> work!version[0] }
  od
}

proctype agent_accepts() {
  byte v;
end:
  do
  :: atomic {
      work?v ->
      if
#ifndef NO_VERSION_CHECK
      :: v < version[1] -> skip /* Refused: stale_configuration. */
      :: v >= version[1] ->
#else
      :: true ->
#endif
        assert(v >= version[1]) /* Accepted; an agent that is behind catches up first. */
      fi;
      v = 0
    }
  od
}

init {
  atomic {
    run operator_process(1);
    run operator_process(2);
    run process(0);
    run process(1);
    run entry_sends();
    run agent_accepts()
  }
}

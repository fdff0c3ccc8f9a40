/* Configuration rollout. Models source/core/operation (apply) and source/core/rollout.
 *
 * Two operators apply a change at the same time by compare-and-set on the head row; the response to a write
 * may be lost. An entry and an agent receive versions from the table or from each other; responses may be
 * late; each process may restart once and then has no configuration. An unavailable table is modelled by a
 * process that does not read it.
 *
 * Properties: each version has one content; no process returns to an older version unless it restarts; an
 * operator gets "applied" only if its content is in the history, and "conflict" only if it is not; an agent
 * does not accept work from an entry that has an older version than its own.
 * Mutants (-D): NO_COMPARE, CONFLICT_ON_LOST_RESPONSE, ACCEPT_OLDER, NO_VERSION_CHECK.
 */
#define PROCESSES 2 /* 0: entry, 1: agent. */
#define VERSIONS 4

byte head_version;
byte content_of[VERSIONS]; /* Number of the operator that wrote the version; 0 if none did. */
byte version[PROCESSES];
byte content[PROCESSES];

proctype operator_process(byte me) {
  byte based_on;
  bool accepted = false;

  based_on = head_version;
  atomic {
    if
#ifndef NO_COMPARE
    :: head_version != based_on -> accepted = false
    :: head_version == based_on ->
#else
    :: true ->
#endif
      assert(content_of[based_on + 1] == 0);
      content_of[based_on + 1] = me;
      head_version = based_on + 1;
      accepted = true
    fi
  };
  if
  :: skip -> assert(accepted == (content_of[based_on + 1] == me)) /* The response is received. */
  :: skip -> /* The response is lost. */
#ifdef CONFLICT_ON_LOST_RESPONSE
    assert(!accepted)
#else
    assert(accepted == (content_of[based_on + 1] == me)) /* Read back, compared by the writer's token. */
#endif
  fi
}

inline apply_version(p, received_version, received_content) {
  atomic {
    if
#ifdef ACCEPT_OLDER
    :: received_version != version[p] ->
#else
    :: received_version > version[p] ->
#endif
      assert(received_version >= version[p]);
      version[p] = received_version;
      content[p] = received_content;
      assert(content[p] == content_of[received_version])
    :: received_version == version[p] -> assert(received_version == 0 || content[p] == received_content)
#ifndef ACCEPT_OLDER
    :: received_version < version[p] -> skip
#endif
    fi;
    received_version = 0;
    received_content = 0
  }
}

proctype process(byte me) {
  byte received_version = 0, received_content = 0;
  bool restarted = false;
end:
  do
  :: atomic { received_version = head_version; received_content = content_of[head_version] };
    apply_version(me, received_version, received_content)
  :: atomic { received_version = version[1 - me]; received_content = content[1 - me] };
    apply_version(me, received_version, received_content)
  :: atomic { !restarted -> restarted = true; version[me] = 0; content[me] = 0 }
  od
}

/* Requests of the entry with its version; the message may be late. */
chan work = [1] of { byte };

proctype entry_sends() {
end:
  do
  :: atomic { nfull(work) && version[0] > 0 -> work!version[0] }
  od
}

proctype agent_accepts() {
  byte received_version;
end:
  do
  :: atomic {
      work?received_version ->
      if
#ifndef NO_VERSION_CHECK
      :: received_version < version[1] -> skip /* Refused: stale_configuration. */
      :: received_version >= version[1] ->
#else
      :: true ->
#endif
        assert(received_version >= version[1]) /* Accepted; an agent with an older version updates first. */
      fi;
      received_version = 0
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

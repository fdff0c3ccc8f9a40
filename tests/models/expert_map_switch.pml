/* Switch of a group's expert map. Stands for source/core/group_switch/coordinator.cpp and participant.cpp.
 *
 * Messages are lost, and late ones of a replaced coordinator arrive in any order with those of its successor
 * (each coordinator has channels of its own). The coordinator may be replaced at any point. Ranks step together:
 * none runs a step before all have run the one before it. A frozen process is one that is not scheduled.
 *
 * Property: in every step, all ranks use the same map.
 * Mutants (-D): NO_FENCING, GO_BEFORE_ALL_ARMED, NO_RECOVERY, PREPARE_OVER_PENDING.
 */
#define RANKS 2
#define STEPS 4
#define SWITCHES 2
#define COORDINATORS 2
#ifdef NO_FENCING
#define FENCING_OFF 1
#else
#define FENCING_OFF 0
#endif

mtype = { prepare, arm, go, abort, query, prepared, armed, state };
mtype = { idle, is_prepared, is_armed, committed, aborted };

/* Coordinator c (from 1) to rank r: index (c - 1) * RANKS + r. */
chan to_rank[4] = [1] of { mtype, byte, byte };          /* kind, switch, step */
chan to_coordinator[2] = [1] of { mtype, byte, byte, mtype, byte }; /* kind, rank, switch, phase, step */

byte next_step[RANKS];  /* Next step of each rank. */
byte map_used[STEPS];   /* Map that the first rank to run the step used; 255 before. */

inline send(c, r, kind, sw, st) {
  if
  :: nfull(to_rank[(c - 1) * RANKS + r]) -> to_rank[(c - 1) * RANKS + r]!kind, sw, st
  :: skip /* Lost. */
  fi
}

inline answer(c, kind, sw, ph, st) {
  if
  :: nfull(to_coordinator[c - 1]) -> to_coordinator[c - 1]!kind, me, sw, ph, st
  :: skip
  fi
}

proctype rank_process(byte me) {
  byte token = 0, sw = 0, switch_step = 0, map = 0, new_map = 0;
  mtype phase = idle;
  byte c, s, st;
  mtype kind;
  bool pending;

  do
  :: atomic {
      (next_step[me] < STEPS && next_step[0] >= next_step[me] && next_step[1] >= next_step[me] &&
       !(phase == is_armed && next_step[me] == switch_step)) ->
      if
      :: phase == committed && next_step[me] == switch_step -> map = new_map
      :: else
      fi;
      if
      :: map_used[next_step[me]] == 255 -> map_used[next_step[me]] = map
      :: else -> assert(map_used[next_step[me]] == map)
      fi;
      next_step[me]++
    }
  :: atomic {
      if
      :: to_rank[0 + me]?kind, s, st -> c = 1
      :: to_rank[RANKS + me]?kind, s, st -> c = 2
      fi;
      if
#ifndef NO_FENCING
      :: c < token -> skip
#endif
      :: c >= token || FENCING_OFF ->
        token = (c > token -> c : token);
        pending = (phase == committed && next_step[me] <= switch_step);
#ifdef PREPARE_OVER_PENDING
        pending = false;
#endif
        if
        :: kind == prepare ->
          if
          :: s > sw && !pending && phase != is_prepared && phase != is_armed ->
            sw = s; phase = is_prepared; new_map = s
          :: else
          fi;
          if
          :: s == sw && phase == is_prepared -> answer(c, prepared, sw, phase, next_step[me])
          :: else
          fi
        :: kind == arm ->
          if
          :: s == sw && phase == is_prepared && next_step[me] <= st -> phase = is_armed; switch_step = st
          :: else
          fi;
          if
          :: s == sw && phase == is_armed -> answer(c, armed, sw, phase, next_step[me])
          :: else
          fi
        :: kind == go ->
          if
          :: s == sw && phase == is_armed -> phase = committed
          :: else
          fi;
          answer(c, state, sw, phase, next_step[me])
        :: kind == abort ->
          if
          :: s > sw && !pending && phase != is_prepared && phase != is_armed -> sw = s; phase = aborted
          :: s >= sw && (phase == is_prepared || phase == is_armed) -> sw = s; phase = aborted
          :: else
          fi;
          answer(c, state, sw, phase, next_step[me])
        :: kind == query -> answer(c, state, sw, phase, next_step[me])
        fi
      fi
    }
  od
}

/* One coordinator process; its successor starts when it is replaced, which may be at any point. */
byte newest_coordinator = 1;

inline reset() { answered[0] = false; answered[1] = false }

proctype coordinator(byte c) {
  bool answered[RANKS];
  byte rank, s, st, sw = 0, step = 0, furthest = 0, started = 0;
  mtype kind, ph;
  bool any_committed = false, any_undecided = false;

  /* Recovery: every rank must answer. */
#ifdef NO_RECOVERY
  if
  :: c == 1
  :: else -> sw = 1
  fi;
#else
  do
  :: !answered[0] || !answered[1] ->
    if
    :: !answered[0] -> send(c, 0, query, 0, 0)
    :: !answered[1] -> send(c, 1, query, 0, 0)
    :: to_coordinator[c - 1]?kind, rank, s, ph, st ->
      if
      :: kind == state && !answered[rank] ->
        answered[rank] = true;
        if
        :: s > sw -> sw = s; any_committed = (ph == committed);
          any_undecided = (ph == is_prepared || ph == is_armed)
        :: s == sw -> any_committed = any_committed || ph == committed;
          any_undecided = any_undecided || ph == is_prepared || ph == is_armed
        :: else
        fi
      :: else
      fi
    fi
  :: else -> break
  od;
  reset();
  if
  :: any_committed -> goto committing
  :: !any_committed && any_undecided -> goto aborting
  :: else
  fi;
#endif

idle_state:
  if
  :: sw < SWITCHES -> sw++; furthest = 0; reset()
  :: sw >= SWITCHES -> goto done
  fi;

  /* Prepare. */
  do
  :: !answered[0] -> send(c, 0, prepare, sw, 0)
  :: !answered[1] -> send(c, 1, prepare, sw, 0)
  :: to_coordinator[c - 1]?kind, rank, s, ph, st ->
    if
    :: kind == prepared && s == sw ->
      answered[rank] = true;
      furthest = (st > furthest -> st : furthest)
    :: else
    fi
  :: answered[0] && answered[1] -> break
  :: goto aborting /* Timeout. */
  od;
  reset();
  if
  :: step = furthest
  :: step = furthest + 1
  fi;

  /* Arm. */
  do
  :: !answered[0] -> send(c, 0, arm, sw, step)
  :: !answered[1] -> send(c, 1, arm, sw, step)
  :: to_coordinator[c - 1]?kind, rank, s, ph, st ->
    if
    :: kind == armed && s == sw -> answered[rank] = true
    :: else
    fi
#ifdef GO_BEFORE_ALL_ARMED
  :: answered[0] || answered[1] -> break
#else
  :: answered[0] && answered[1] -> break
#endif
  :: goto aborting
  od;
  reset();

committing:
  do
  :: !answered[0] -> send(c, 0, go, sw, 0)
  :: !answered[1] -> send(c, 1, go, sw, 0)
  :: to_coordinator[c - 1]?kind, rank, s, ph, st ->
    if
    :: kind == state && s == sw && ph == committed -> answered[rank] = true
    :: else
    fi
  :: answered[0] && answered[1] -> break
  od;
  reset();
  goto idle_state;

aborting:
  reset();
  do
  :: !answered[0] -> send(c, 0, abort, sw, 0)
  :: !answered[1] -> send(c, 1, abort, sw, 0)
  :: to_coordinator[c - 1]?kind, rank, s, ph, st ->
    if
    :: kind == state && s >= sw && ph != is_prepared && ph != is_armed -> answered[rank] = true
    :: else
    fi
  :: answered[0] && answered[1] -> break
  od;
  reset();
  goto idle_state;

done:
  skip
}

init {
  byte i = 0;
  atomic {
    do
    :: i < STEPS -> map_used[i] = 255; i++
    :: else -> break
    od;
    run rank_process(0);
    run rank_process(1);
    run coordinator(1)
  };
  /* The successor may start at any point; its predecessor goes on if it was only frozen. */
  run coordinator(2)
}

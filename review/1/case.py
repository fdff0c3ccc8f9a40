"""A gateway that stops gracefully accepts a stream late in its grace period and cuts it."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))
import standins  # noqa: E402

EVENTS = 40            # Of at most 66 on the sheet.
EVENT_GAP_S = 0.1      # Of at most 120 ms for a stream that is on time.
GRACE_S = 8
DEADLINE_S = 8            # Also timeoutMs of the route.
LATEST_USE_SHARE = 0.97  # Of three lifetimes of the directory's answer.


async def case(record, system, trouble):
    await system.start_store()
    store = system.store
    replicas = [standins.Replica(f"i-{number}", "vani-llm", store, record) for number in range(2)]
    for replica in replicas:
        replica.events, replica.event_gap_s = EVENTS, EVENT_GAP_S
        await replica.start()
        replica.register()
    store.put("op", "config", standins.configuration(
        [{"name": "reminder", "host": "h.example", "pathPrefix": "/stream/", "service": "vani-llm",
          "kind": "streaming", "resumable": True, "timeoutMs": 8000, "targetLatencyMs": 400, "gapAimMs": 120,
          "priority": 0, "maxAttempts": 2}],
        [{"name": "vani-llm", "maxConns": 940, "healthPath": "/health", "slots": 12}]))
    names = ["front-1", "front-2"]
    system.plan_gateways(names)
    for name in names:
        system.start_process(name, "gateway")
    await system.wait_ready(names)
    await asyncio.sleep(3.5)  # All machines are in touch.

    addresses, ttl_s = await system.resolve("front-2")
    resolved_at = time.monotonic()
    address = system.addresses["front-1"]["front"]
    if address not in addresses:
        raise standins.CannotRun("the directory does not list front-1")
    term_at = time.monotonic()
    if trouble:
        system.send_signal("front-1", signal.SIGTERM)
    # The client uses the answer for three times its lifetime, as some clients do.
    await asyncio.sleep(LATEST_USE_SHARE * 3 * min(ttl_s, 5) - (time.monotonic() - resolved_at))
    try:
        connection = await standins.Connection(record).connect(address)
    except (OSError, asyncio.TimeoutError) as failure:
        record.add("client", "not connected", failure=repr(failure))
        return []  # Allowed: the client turns to another address.
    answer = await connection.request("POST", "/stream/1", standins.request_headers("r1", 8000, True), b"{}")
    runs = sum(replica.runs.count("r1") for replica in replicas)
    sent_s, ended_s = answer.sent_at - term_at, answer.ended_at - term_at
    record.add("check", "after SIGTERM", sent_s=f"{sent_s:.2f}", ended_s=f"{ended_s:.2f}", runs=runs)
    # The excuses of the rule: sent no later than 3 s after the SIGTERM, cut later than 1 s after the grace period,
    # or its time was up. The replicas here never break off.
    excused = trouble and (sent_s <= 3 or ended_s > GRACE_S + 1) or answer.ended_at - answer.sent_at >= DEADLINE_S
    if not answer.complete and runs > 0 and not excused:
        events = answer.body.count(b"id: ")
        return [f"LOST: the stream was passed on to a replica and its connection was closed after {events} of "
                f"{EVENTS} events, {answer.ended_at - answer.sent_at:.1f} s after it was sent"]
    return []


standins.main(case, FOLDER)

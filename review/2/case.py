"""One replica sends bytes without end in the bodies of its streams; the gateways stop answering all requests."""

import asyncio
import pathlib
import subprocess
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support"))
import standins  # noqa: E402

UNIT = "\\n"            # Empty lines: bytes that are no event.
TIMEOUT_S = 2.0         # timeoutMs of the booking route, as on the sheet.
DEADLINE_S = 4.0
STREAMS_PER_S = 4
BOOKINGS_PER_S = 4      # At each gateway.
SECONDS = 8
EVENTS, EVENT_GAP_S = 26, 0.04


async def case(record, system, trouble):
    await system.start_store()
    store = system.store
    apps = [standins.Replica(f"app-{number}", "seva-app", store, record, slots=6) for number in range(3)]
    for replica in apps:
        await replica.start()
        replica.register()
    models = {}
    for number in range(4):
        name, port = f"i-{number}", standins.free_port()
        faulty = trouble and number == 0
        with open(system.directory / f"{name}.log", "wb") as log:
            system.processes[name] = subprocess.Popen(
                [sys.executable, str(FOLDER.parent / "support/faulty_replica.py"), str(port), name,
                 UNIT if faulty else "", str(EVENTS), str(EVENT_GAP_S)], stdout=log, stderr=log)
        record.add(name, "started", faulty=faulty)
        models[name] = port
        store.put("servers", name, {"service": "vani-llm", "address": f"127.0.0.1:{port}", "zone": "bharuch",
                                    "version": 1, "slots": 12, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
                                    "born": int(time.time() * 1000)})
    store.put("op", "config", standins.configuration(
        [{"name": "reminder", "host": "h.example", "pathPrefix": "/stream/", "service": "vani-llm",
          "kind": "streaming", "resumable": True, "timeoutMs": 8000, "targetLatencyMs": 400, "gapAimMs": 120,
          "priority": 0, "maxAttempts": 2},
         {"name": "booking", "host": "h.example", "pathPrefix": "/booking/", "service": "seva-app", "kind": "unsafe",
          "timeoutMs": int(1000 * TIMEOUT_S), "targetLatencyMs": 300, "priority": 2, "maxAttempts": 1}],
        [{"name": "vani-llm", "maxConns": 940, "healthPath": "/health", "slots": 12},
         {"name": "seva-app", "maxConns": 248, "healthPath": "/health", "slots": 6}]))
    names = ["front-1", "front-2"]
    system.plan_gateways(names)
    for name in names:
        system.start_process(name, "gateway")
    await system.wait_ready(names)
    await asyncio.sleep(3.5)  # All machines are in touch.

    addresses, _ = await system.resolve("front-2")

    ready_failures = 0

    async def watch_ready(name):
        nonlocal ready_failures
        while True:
            try:
                await standins.get(system.addresses[name]["ready"], "/cuminpath/ready", 1.0)
            except (OSError, asyncio.TimeoutError):
                ready_failures += 1
                record.add("platform", "gets no answer about readiness within 1 s", of=name)
            await asyncio.sleep(1)

    answer_times = []

    async def book(name, number):
        try:
            connection = await standins.Connection(record).connect(system.addresses[name]["front"])
        except (OSError, asyncio.TimeoutError) as failure:
            record.add("client", "not connected", id=f"b-{name}-{number}", failure=repr(failure))
            return  # Nothing was sent.
        start = time.monotonic()
        try:
            answer = await asyncio.wait_for(
                connection.request("POST", "/booking/1", standins.request_headers(f"b-{name}-{number}",
                                                                                  int(1000 * DEADLINE_S)), b"{}"),
                DEADLINE_S)
            connection.close()
            answer_times.append(answer.ended_at - answer.sent_at)
        except (OSError, asyncio.TimeoutError):
            record.add("client", "leaves without an answer", id=f"b-{name}-{number}",
                       after_ms=int(1000 * (time.monotonic() - start)))
            answer_times.append(float("inf"))

    await asyncio.gather(*(book(name, f"before-{number}") for name in names for number in range(4)))
    if len(answer_times) < 8 or max(answer_times) > TIMEOUT_S / 2:
        raise standins.CannotRun("bookings are slow without any disruption")
    answer_times.clear()
    with open(system.directory / "clients.log", "wb") as log:
        system.processes["clients"] = subprocess.Popen(
            [sys.executable, str(FOLDER.parent / "support/stream_clients.py"), str(SECONDS), str(STREAMS_PER_S),
             *addresses], stdout=log, stderr=log)
    watchers = [asyncio.create_task(watch_ready(name)) for name in names]
    await asyncio.sleep(1)
    bookings = []
    for number in range(SECONDS * BOOKINGS_PER_S):
        bookings += [asyncio.create_task(book(name, number)) for name in names]
        await asyncio.sleep(1 / BOOKINGS_PER_S)
    await asyncio.wait(bookings)
    for watcher in watchers:
        watcher.cancel()
    for name in [*models, "clients"]:
        for line in (system.directory / f"{name}.log").read_text().splitlines():
            at, _, what = line.partition(" ")
            if at.replace(".", "").isdigit():
                record.add("log", what, at=f"{float(at) - record.start:.3f}")
    for name in names:
        if system.processes[name].poll() is not None:
            return [f"{name} has ended"]
    unanswered = [each for each in answer_times if each > TIMEOUT_S]
    late = [each for each in unanswered if each > TIMEOUT_S + 0.5]
    record.add("check", "bookings", sent=len(answer_times), unanswered_at_timeout=len(unanswered),
               without_answer_half_a_second_later=len(late), readiness_questions_without_answer=ready_failures)
    if len(unanswered) >= 8 and len(late) > len(unanswered) / 2:
        return [f"CONFIG: of {len(answer_times)} bookings, {len(unanswered)} were unanswered at their route's timeoutMs "
                f"and {len(late)} of these half a second later; {ready_failures} questions for readiness had no answer"]
    return []


standins.main(case, FOLDER)

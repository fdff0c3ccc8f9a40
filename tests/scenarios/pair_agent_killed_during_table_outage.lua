-- Property: when agents are killed while the table service is unavailable (two faults at once), completions
-- continue on another engine, bookings that were claimed before end with a truthful outcome, and none runs
-- twice after the outage.
local system = require("system").start{engines = 2, services = 2, service_delay_ms = 800}

local completions, bookings = {}, {}
for number = 1, 8 do
  completions[number] = system:complete{entry = number % 2 + 1, prompt = "note " .. number, max_tokens = 100}
  bookings[number] = system:book{entry = number % 2 + 1, idempotency_key = "b" .. number, body = "{}"}
end
within(10, "all bookings run", function()
  local count = 0
  for number = 1, 8 do count = count + system:runs("b" .. number) end
  return count == 8
end)
system:outage("table", true)
kill("agent-service-1")
kill("agent-engine-1")
finish(completions, 60)
finish(bookings, 60)
for _, call in ipairs(completions) do expect_equal(call.outcome, "complete", describe(call)) end
for _, call in ipairs(bookings) do
  -- All of them ran, so none may be refused as not run.
  expect(call.outcome == "complete" or call.outcome == "unknown", describe(call))
end

system:outage("table", false)
for number = 1, 8 do
  local retry = system:book{entry = number % 2 + 1, idempotency_key = "b" .. number, body = "{}"}
  finish(retry)
  expect(retry.outcome == "complete" or retry.outcome == "unknown", describe(retry))
  expect_equal(system:runs("b" .. number), 1, "runs of b" .. number)
end
system:check_invariants()

-- Property: while the table service is slow and an agent is suspended, completions continue on another engine
-- without waiting for the table, and bookings end with a truthful outcome and run at most once.
local system = require("system").start{engines = 2, services = 2, service_delay_ms = 200}

control(system.table, {slow_ms = 800})
local completions, bookings = {}, {}
for number = 1, 8 do
  completions[number] = system:complete{entry = number % 2 + 1, prompt = "note " .. number, max_tokens = 100}
  bookings[number] = system:book{entry = number % 2 + 1, idempotency_key = "b" .. number, body = "{}"}
end
within(10, "the engine runs streams", function() return stats(system:agent("engine-1").emulator).running > 0 end)
suspend("agent-engine-1")
suspend("agent-service-1")
finish(completions, 60)
finish(bookings, 60)
resume("agent-engine-1")
resume("agent-service-1")
control(system.table, {slow_ms = 0})
for _, call in ipairs(completions) do expect_equal(call.outcome, "complete", describe(call)) end
system:check_outcomes(bookings)
for number = 1, 8 do
  local retry
  local failure_message = function() return "the retry of b" .. number .. " ends: " .. describe(retry) end
  within(20, failure_message, function()
    retry = system:book{entry = number % 2 + 1, idempotency_key = "b" .. number, body = "{}"}
    finish(retry)
    expect(retry.outcome == "complete" or retry.outcome == "unknown" or retry.outcome == "not_run", describe(retry))
    if retry.outcome ~= "complete" then runner.poll(200) end
    return retry.outcome == "complete"
  end)
  expect_equal(system:runs("b" .. number), 1, "runs of b" .. number)
end
system:check_invariants()

-- Property: while one agent drains and the engine of another one breaks off its streams, every completion is
-- completed by the remaining engine, or ends with a truthful refusal or an explicit error.
local system = require("system").start{engines = 3, services = 1}

local requests = {}
for number = 1, 12 do
  requests[number] = system:complete{entry = number % 2 + 1, prompt = "note " .. number, max_tokens = 100}
end
within(10, "engines run streams", function()
  return stats(system:agent("engine-1").emulator).running > 0 and stats(system:agent("engine-2").emulator).running > 0
end)
system:drain(system:agent("engine-1"))
control(system:agent("engine-2").emulator, {fail_after_tokens = 10})
finish(requests, 60)
system:check_outcomes(requests)
local counts = outcomes(requests)
expect((counts.complete or 0) >= 8, "too few complete responses: " .. runner.encode(counts))
within(30, "the drained agent has ended", function() return exit_status("agent-engine-1") end)
expect_equal(exit_status("agent-engine-1"), 0, "exit status")
system:check_invariants()

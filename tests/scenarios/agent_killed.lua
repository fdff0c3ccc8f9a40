-- Property: when agents are killed (SIGKILL) while they run requests, each request ends with one complete
-- response or a truthful refusal, and no booking runs twice.
local system = require("system").start{engines = 3, services = 2, service_delay_ms = 100}

local requests = {}
for number = 1, 24 do
  requests[#requests + 1] = system:complete{entry = number % 2 + 1, prompt = "note " .. number, max_tokens = 60,
                                            stream = number % 3 > 0}
end
for number = 1, 12 do requests[#requests + 1] = system:book{entry = number % 2 + 1} end
within(10, "an engine runs streams", function() return stats(system:agent("engine-1").emulator).running > 0 end)
within(10, "a service runs calls", function() return stats(system:agent("service-1").emulator).running > 0 end)
kill("agent-engine-1")
kill("agent-service-1")
finish(requests, 60)

system:check_outcomes(requests)
local counts = outcomes(requests)
expect((counts.complete or 0) >= 24, "too few complete responses: " .. runner.encode(counts))
-- The streams of the lost agent continue on other engines: no completion fails while other engines have free
-- slots.
for _, call in ipairs(requests) do
  if call.description.kind == "completion" then expect_equal(call.outcome, "complete", describe(call)) end
end
system:check_invariants()

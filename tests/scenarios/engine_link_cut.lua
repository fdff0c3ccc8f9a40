-- Property: no completion fails when an agent loses the connection to its engine for a while (data is held
-- back, then the connections are reset): streams are resumed on another engine at the next token.
local system = require("system").start{engines = 2, services = 1}

local requests = {}
for number = 1, 8 do
  requests[number] = system:complete{entry = number % 2 + 1, prompt = "note " .. number, max_tokens = 100}
end
within(10, "the engine runs streams", function() return stats(system:agent("engine-1").emulator).running > 0 end)
runner.poll(500)
cut("engine-1")
runner.poll(300)
runner.reset("engine-1")
finish(requests, 60)
for _, call in ipairs(requests) do expect_equal(call.outcome, "complete", describe(call)) end
heal("engine-1")
system:check_invariants()

-- Property: no completion fails when an agent is suspended: its streams continue on other engines and new
-- requests are dispatched to other agents. After it is resumed, its late frames change no response and it
-- serves again.
local system = require("system").start{engines = 3, services = 1}
local agent = system:agent("engine-1")

local requests = {}
for number = 1, 12 do
  requests[number] = system:complete{entry = number % 2 + 1, prompt = "note " .. number, max_tokens = 150}
end
within(10, "the engine runs streams", function() return stats(agent.emulator).running > 0 end)
suspend(agent.name)
runner.poll(2500)
for number = 13, 24 do
  requests[number] = system:complete{entry = number % 2 + 1, prompt = "note " .. number, max_tokens = 20}
end
runner.poll(2500)
resume(agent.name)
finish(requests, 60)
for _, call in ipairs(requests) do expect_equal(call.outcome, "complete", describe(call)) end

local completed_before = stats(agent.emulator).completed
within(20, "the agent serves again", function()
  local list = {}
  for number = 1, 6 do
    list[number] = system:complete{entry = number % 2 + 1, prompt = "again " .. now(), max_tokens = 2}
  end
  finish(list)
  for _, call in ipairs(list) do expect_equal(call.outcome, "complete", describe(call)) end
  return stats(agent.emulator).completed > completed_before
end)
system:check_invariants()

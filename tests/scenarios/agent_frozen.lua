-- Property: a frozen agent costs no completion: its streams go on elsewhere, new work avoids it, and after it is
-- resumed its late frames change no response and it serves again.
local system = require("system").start{engines = 3, services = 1}
local agent = system:agent("engine-1")

local requests = {}
for number = 1, 12 do
  requests[number] = system:complete{entry = number % 2 + 1, prompt = "note " .. number, max_tokens = 150}
end
within(10, "the engine runs streams", function() return stats(agent.emulator).running > 0 end)
freeze(agent.name)
runner.poll(2500)
for number = 13, 24 do
  requests[number] = system:complete{entry = number % 2 + 1, prompt = "note " .. number, max_tokens = 20}
end
runner.poll(2500)
resume(agent.name)
finish(requests, 60)
for _, one in ipairs(requests) do expect_equal(one.outcome, "complete", describe(one)) end

local before = stats(agent.emulator).completed
within(20, "the agent serves again", function()
  local list = {}
  for number = 1, 6 do list[number] = system:complete{entry = number % 2 + 1, prompt = "again " .. now(), max_tokens = 2} end
  finish(list)
  for _, one in ipairs(list) do expect_equal(one.outcome, "complete", describe(one)) end
  return stats(agent.emulator).completed > before
end)
system:check_invariants()

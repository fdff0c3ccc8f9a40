-- Property: an agent that drains gets no new requests after 3 s, finishes the ones that it runs, and then
-- exits.
local system = require("system").start{engines = 2, services = 1}
local agent = system:agent("engine-1")

local running = {}
for number = 1, 8 do
  running[number] = system:complete{entry = number % 2 + 1, prompt = "long " .. number, max_tokens = 300}
end
within(10, "the engine runs streams", function() return stats(agent.emulator).running > 0 end)
local response = system:drain(agent)
expect(response.status >= 200 and response.status < 300, "drain: " .. response.status .. " " .. response.body)

local load = system:start_load{rate = 20, seconds = 5, shares = {
  {name = "completion", kind = "completion", key = system.key, model = "member-messages", max_tokens = 5}}}
local drained_at = now()
local starts_at_limit
within(20, "the agent has ended", function()
  if not starts_at_limit and now() >= drained_at + 3 then
    starts_at_limit = 0
    for _ in pairs(stats(agent.emulator).starts) do starts_at_limit = starts_at_limit + 1 end
  end
  return exit_status(agent.name) and starts_at_limit
end)
expect_equal(exit_status(agent.name), 0, "exit status of the agent")
system:check_all_complete(load.finish())
finish(running, 30)
for _, call in ipairs(running) do expect_equal(call.outcome, "complete", describe(call)) end
local starts = 0
for _ in pairs(stats(agent.emulator).starts) do starts = starts + 1 end
expect_equal(starts, starts_at_limit, "starts after 3 s")
system:check_invariants()

-- Property: responses of an agent that drains reach an entry that does not read while the agent ends.
local system = require("system").start{engines = 1, services = 1, service_delay_ms = 1000}
local agent = system:agent("service-1")

local bookings = {}
for number = 1, 4 do bookings[number] = system:book{entry = 1, idempotency_key = "b" .. number} end
within(10, "the bookings run", function()
  for number = 1, 4 do
    if system:runs("b" .. number) ~= 1 then return false end
  end
  return true
end)
suspend("entry-1")
stop(agent.name)
within(20, "the agent has ended", function() return exit_status(agent.name) end)
resume("entry-1")
finish(bookings)
expect_equal(exit_status(agent.name), 0, "exit status of the agent")
for _, call in ipairs(bookings) do expect_equal(call.outcome, "complete", describe(call)) end
system:check_invariants()

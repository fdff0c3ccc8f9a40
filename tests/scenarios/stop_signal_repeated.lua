-- Property: a repeated SIGTERM does not cut the requests of an entry or an agent that is being stopped.
local system = require("system").start{engines = 1, services = 1, service_delay_ms = 2000}
local agent, entry = system:agent("service-1"), system.entries[1]

local function stop_twice(process)
  stop(process.name)
  within(5, process.name .. " is draining", function()
    return runner.decode(http{url = process.admin, path = "/status"}.body).draining
  end)
  stop(process.name)
end

local stream = system:complete{prompt = "long note", max_tokens = 200}
within(10, "the stream runs", function() return system:starts_by_prompt()["long note"] end)
stop_twice(entry)

local booking = system:book{entry = 2, idempotency_key = "b1"}
within(10, "the booking runs", function() return system:runs("b1") == 1 end)
stop_twice(agent)

finish{stream, booking}
expect_equal(stream.outcome, "complete", describe(stream))
expect_equal(booking.outcome, "complete", describe(booking))
for _, process in ipairs{entry, agent} do
  within(20, process.name .. " has ended", function() return exit_status(process.name) end)
  expect_equal(exit_status(process.name), 0, "exit status of " .. process.name)
end
system:check_invariants()

-- A second SIGINT ends the process at once.
interrupt("entry-2")
within(5, "entry-2 is draining", function()
  return runner.decode(http{url = system.entries[2].admin, path = "/status"}.body).draining
end)
interrupt("entry-2")
within(5, "entry-2 has ended", function() return exit_status("entry-2") end)
expect_equal(exit_status("entry-2"), 1, "exit status of entry-2")

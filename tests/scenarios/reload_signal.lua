-- Property: SIGHUP ends neither an entry nor an agent, and cuts none of their requests.
local system = require("system").start{engines = 1, services = 1, entries = 1, service_delay_ms = 1000}
local agent, entry = system:agent("service-1"), system.entries[1]

local stream = system:complete{prompt = "long note", max_tokens = 100}
local booking = system:book{idempotency_key = "b1"}
within(10, "the booking runs", function() return system:runs("b1") == 1 end)
within(10, "the stream runs", function() return system:starts_by_prompt()["long note"] end)
for _, process in ipairs{entry, agent} do
  reload(process.name)
  within(5, process.name .. " logs the signal", function()
    expect(not exit_status(process.name), process.name .. " has ended")
    return runner.output(process.name):find("not reloaded", 1, true)
  end)
end
finish{stream, booking}
expect_equal(stream.outcome, "complete", describe(stream))
expect_equal(booking.outcome, "complete", describe(booking))
system:check_invariants()

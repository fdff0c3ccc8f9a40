-- Property: when the entry that serves a caller is killed, the caller sees a broken connection and never a
-- response that looks complete. Its retry with the same key through another entry ends with a truthful
-- outcome, and the booking runs at most once.
local system = require("system").start{engines = 2, services = 2, service_delay_ms = 1500}

local stream = system:complete{prompt = "long note", max_tokens = 400}
local booking = system:book{idempotency_key = "b1", body = "{}"}
within(10, "the booking runs", function() return system:runs("b1") == 1 end)
within(10, "the stream runs", function() return system:starts_by_prompt()["long note"] end)
kill("entry-1")
finish({stream, booking})
expect_equal(stream.outcome, "broken", describe(stream))
expect_equal(booking.outcome, "broken", describe(booking))

-- While the booking runs, a retry gets the outcome "unknown"; afterwards it gets the stored response.
local retry
within(20, "the retry has the response", function()
  retry = system:book{entry = 2, idempotency_key = "b1", body = "{}"}
  finish(retry)
  if retry.outcome == "unknown" then
    expect_equal(retry.status, 409, describe(retry))
    runner.poll(200)
    return false
  end
  return true
end)
expect_equal(retry.outcome, "complete", describe(retry))
expect_equal(system:runs("b1"), 1, "runs")
-- The stream of the caller that lost its connection is cancelled, so that it does not occupy a slot.
within(10, "the stream is cancelled", function()
  return stats(system:agent("engine-1").emulator).running + stats(system:agent("engine-2").emulator).running == 0
end)
system:check_invariants()

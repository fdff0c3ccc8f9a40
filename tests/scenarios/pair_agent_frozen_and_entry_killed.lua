-- Property: when an agent is suspended while it runs a booking and the entry that sent the booking is killed,
-- retries through the other entry get the outcome "unknown" until the agent is resumed, and the booking runs
-- once.
local system = require("system").start{engines = 1, services = 1, service_delay_ms = 1000}

local first = system:book{entry = 1, idempotency_key = "b", body = "{}"}
within(10, "the booking runs", function() return system:runs("b") == 1 end)
suspend("agent-service-1")
kill("entry-1")
finish(first)
expect_equal(first.outcome, "broken", describe(first))
local retry = system:book{entry = 2, idempotency_key = "b", body = "{}"}
finish(retry, 60)
expect_equal(retry.outcome, "unknown", describe(retry))
resume("agent-service-1")
within(20, "the retry has the response", function()
  retry = system:book{entry = 2, idempotency_key = "b", body = "{}"}
  finish(retry, 60)
  expect(retry.outcome == "complete" or retry.outcome == "unknown", describe(retry))
  if retry.outcome ~= "complete" then runner.poll(300) end
  return retry.outcome == "complete"
end)
expect_equal(system:runs("b"), 1, "runs")
system:check_invariants()

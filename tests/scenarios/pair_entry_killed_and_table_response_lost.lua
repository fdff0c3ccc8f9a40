-- Property: when the response to a claim is lost and the entry is then killed (two faults on one booking),
-- the booking runs at most once and each outcome is truthful, whatever the caller does next.
local system = require("system").start{engines = 1, services = 2, service_delay_ms = 500}

for number = 1, 3 do
  local key = "b" .. number
  control(system.table, {lose_responses = 1})
  local first = system:book{entry = 1, idempotency_key = key, body = "{}"}
  within(10, "the claim is written", function() return stats(system.table).lost_responses >= number end)
  kill("entry-1")
  finish(first)
  expect(first.outcome == "broken", describe(first))
  local ran = false
  within(20, "retries end", function()
    local retry = system:book{entry = 2, idempotency_key = key, body = "{}"}
    finish(retry)
    expect(retry.outcome == "complete" or retry.outcome == "unknown" or retry.outcome == "not_run", describe(retry))
    ran = ran or retry.outcome == "complete"
    if not ran then runner.poll(300) end
    return ran
  end)
  expect_equal(system:runs(key), 1, "runs of " .. key)
  system:start_daemon(system.entries[1])
  -- An entry reports that it is ready before it has read the host list. Until it has, it refuses bookings as
  -- not run.
  system:wait_ready()
end
system:check_invariants()

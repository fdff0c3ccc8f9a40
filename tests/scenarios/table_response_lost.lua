-- Property: when the table service loses the response to a write that took effect, the booking does not run
-- twice, whichever of its writes is affected, and each caller gets a truthful outcome.
local system = require("system").start{engines = 1, services = 2}

for number = 1, 4 do
  -- A booking writes its claim and its stored response. The responses to the next one to four writes are
  -- lost.
  control(system.table, {lose_responses = number})
  local key = "lost " .. number
  local call = system:book{entry = number % 2 + 1, idempotency_key = key, body = "{}"}
  finish(call, 40)
  expect(call.outcome == "complete" or call.outcome == "not_run" or call.outcome == "unknown", describe(call))
  if call.outcome == "not_run" then expect_equal(system:runs(key), 0, "runs after not_run") end
  control(system.table, {lose_responses = 0})
  local first = call
  within(15, "the retry is served", function()
    call = system:book{entry = number % 2 + 1, idempotency_key = key, body = "{}"}
    finish(call, 40)
    expect(call.outcome == "complete" or call.outcome == "not_run" or call.outcome == "unknown", describe(call))
    if call.outcome ~= "complete" then runner.poll(200) end
    return call.outcome == "complete"
  end)
  if first.outcome == "complete" then expect_equal(call.text, first.text, "response to the retry") end
  expect_equal(system:runs(key), 1, "runs of " .. key)
end
system:check_invariants()

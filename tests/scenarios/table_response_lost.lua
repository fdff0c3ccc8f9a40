-- Property: a response of the table service that is lost after the write took effect does not make a booking run
-- twice, whichever of its writes it hits, and each caller gets a truthful outcome.
local system = require("system").start{engines = 1, services = 2}

for number = 1, 4 do
  -- The writes of a booking are the claim and the stored response; one to four of them lose their response.
  control(system.table, {lose_responses = number})
  local key = "lost " .. number
  local one = system:book{entry = number % 2 + 1, idempotency_key = key, body = "{}"}
  finish(one, 40)
  expect(one.outcome == "complete" or one.outcome == "not_run" or one.outcome == "unknown", describe(one))
  if one.outcome == "not_run" then expect_equal(system:runs(key), 0, "runs after not_run") end
  control(system.table, {lose_responses = 0})
  local first = one
  within(15, "the retry is served", function()
    one = system:book{entry = number % 2 + 1, idempotency_key = key, body = "{}"}
    finish(one, 40)
    expect(one.outcome == "complete" or one.outcome == "not_run" or one.outcome == "unknown", describe(one))
    if one.outcome ~= "complete" then runner.poll(200) end
    return one.outcome == "complete"
  end)
  if first.outcome == "complete" then expect_equal(one.text, first.text, "response to the retry") end
  expect_equal(system:runs(key), 1, "runs of " .. key)
end
system:check_invariants()

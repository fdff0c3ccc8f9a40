-- Property: while the table service is down, bookings are refused as not run and are not run; no completion is cut
-- or refused; bookings work again after the outage.
local system = require("system").start{engines = 2, services = 2}

local running = {}
for number = 1, 8 do
  running[number] = system:complete{entry = number % 2 + 1, prompt = "before " .. number, max_tokens = 150}
end
within(10, "streams run", function() return stats(system:agent("engine-1").emulator).running > 0 end)
system:outage("table", true)

local refused, served = {}, {}
for number = 1, 6 do
  refused[number] = system:book{entry = number % 2 + 1, idempotency_key = "down " .. number}
  served[number] = system:complete{entry = number % 2 + 1, prompt = "during " .. number}
end
finish(refused)
finish(served)
finish(running, 60)
for _, one in ipairs(refused) do
  expect_equal(one.outcome, "not_run", describe(one))
  expect_equal(one.status, 503, describe(one))
  expect(one.headers["retry-after"], "no Retry-After")
end
for _, list in ipairs{running, served} do
  for _, one in ipairs(list) do expect_equal(one.outcome, "complete", describe(one)) end
end

system:outage("table", false)
within(10, "bookings work again", function()
  local one = system:book()
  finish(one)
  return one.outcome == "complete"
end)
system:check_not_run{"down 1", "down 2", "down 3", "down 4", "down 5", "down 6"}
system:check_invariants()

-- Property: while the table service is unavailable, bookings are refused as not run and do not run, and no
-- completion is cut or refused. Bookings work again after the outage.
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
for _, call in ipairs(refused) do
  expect_equal(call.outcome, "not_run", describe(call))
  expect_equal(call.status, 503, describe(call))
  expect(call.headers["retry-after"], "no Retry-After")
end
for _, list in ipairs{running, served} do
  for _, call in ipairs(list) do expect_equal(call.outcome, "complete", describe(call)) end
end

system:outage("table", false)
within(10, "bookings work again", function()
  local call = system:book()
  finish(call)
  return call.outcome == "complete"
end)
system:check_not_run{"down 1", "down 2", "down 3", "down 4", "down 5", "down 6"}
system:check_invariants()

-- Property: while a service answers some calls with bodies without end, all other calls through the same agent are
-- completed: their responses share the agent's links to the entries with those bodies.
local system = require("system").start{engines = 1, services = 1}
local agent = system:agent("service-1")

control(agent.emulator, {endless_prefix = "/reports"})
local endless, bookings = {}, {}
for number = 1, 6 do
  endless[number] = system:book{entry = number % 2 + 1, path = "/services/bookings/reports", timeout_ms = 20000}
end
for number = 1, 40 do
  bookings[number] = system:book{entry = number % 2 + 1, timeout_ms = 20000}
  runner.poll(50)
end
finish(bookings, 40)
finish(endless, 60)
for _, call in ipairs(bookings) do expect_equal(call.outcome, "complete", describe(call)) end
for _, call in ipairs(endless) do expect_equal(call.status, 502, describe(call)) end
local metrics = http{url = agent.admin, path = "/metrics"}.body
expect(not metrics:find("cuminpath_links_lost_total [1-9]"), "the agent has lost a link")
system:check_invariants()

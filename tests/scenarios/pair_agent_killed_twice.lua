-- Property: when the agent of a service is killed, restarted and killed again under load, no booking runs
-- twice, every refusal is truthful, and the other replica keeps serving.
local system = require("system").start{engines = 1, services = 2, service_delay_ms = 50}
local agent = system:agent("service-1")

local load = system:start_load{rate = 40, seconds = 8, shares = {
  {name = "booking", kind = "service", key = system.key, path = "/services/bookings/replacements", body = "{}"}}}
for _ = 1, 2 do
  local before = stats(agent.emulator).answered
  within(10, "the agent serves", function() return stats(agent.emulator).answered > before + 5 end)
  kill(agent.name)
  runner.poll(500)
  system:start_daemon(agent)
end
local summary = load.finish(40)
system:check_summary(summary)
local share = summary.shares.booking
expect((share.outcomes.complete or 0) >= share.sent * 0.8, "complete: " .. runner.encode(share))
system:check_invariants()

-- Property: a rank whose agent is suspended during a map switch never runs a step with a different map than
-- the other ranks. The switch ends after the agent is resumed, and the group can switch again. The same holds
-- for a rank whose engine does not receive an order.
local system = require("group").start{ranks = 3, entries = 1}
local rank = system.ranks[2]
local load = system:start_load{rate = 10, seconds = 60, seed = 13}
delay("engine-3", 60)
for _, phase in ipairs{"preparing", "armed", "committed"} do
  -- The agent is suspended for longer than the timeout for arming, so a rank that has not armed by then makes
  -- the coordinator abort.
  control(system.weights, {slow_ms = phase == "preparing" and 500 or 0})
  local planned, previous = system:switch_until(2, phase)
  suspend(rank.name)
  runner.poll(3000)
  resume(rank.name)
  local final_digest = system:wait_idle(30)
  if phase == "committed" then
    expect_equal(final_digest, planned, "map after a suspension at " .. phase)
  else
    expect(final_digest == planned or final_digest == previous,
           "a map that was not planned is in use after a suspension at " .. phase)
  end
  system:check_maps()
  system:check_steps()
end
-- The order to arm is held back on its way to the engine of rank 2, which keeps stepping: the other ranks
-- must not commit.
local planned, previous = system:switch_until(0, "armed")
cut("engine-3")
runner.poll(3000)
heal("engine-3")
local final_digest = system:wait_idle(30)
expect(final_digest == planned or final_digest == previous,
       "a map that was not planned is in use after an order was held back")
system:check_maps()
system:check_steps()
load.stop()
system:check_summary(load.finish(60))
system:complete_switch()
expect(system:check_maps() >= 2, "fewer than 2 switches took effect")
system:check_invariants()

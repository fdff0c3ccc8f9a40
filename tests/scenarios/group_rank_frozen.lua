-- Property: a rank whose agent is frozen during a switch never runs a step on another map than the other ranks;
-- the switch ends after it is resumed, and the group can switch again. The same holds for a rank whose engine an
-- order does not reach.
local system = require("group").start{ranks = 3, entries = 1}
local rank = system.ranks[2]
local load = system:flood{rate = 10, seconds = 60, seed = 13}
delay("engine-3", 60)
for _, phase in ipairs{"preparing", "armed", "committed"} do
  -- Slower than the bound for arming, so a rank that freezes before it has armed makes the coordinator abort.
  control(system.weights, {slow_ms = phase == "preparing" and 500 or 0})
  local planned, before = system:switch_until(2, phase)
  freeze(rank.name)
  runner.poll(3000)
  resume(rank.name)
  local found = system:wait_idle(30)
  if phase == "committed" then
    expect_equal(found, planned, "map after a freeze at " .. phase)
  else
    expect(found == planned or found == before, "a map that nobody planned after a freeze at " .. phase)
  end
  system:check_maps()
  system:check_steps()
end
-- The order to arm is held back on its way to the engine of rank 2, which steps on: the others must not commit.
local planned, before = system:switch_until(0, "armed")
cut("engine-3")
runner.poll(3000)
heal("engine-3")
local found = system:wait_idle(30)
expect(found == planned or found == before, "a map that nobody planned after an order was held back")
system:check_maps()
system:check_steps()
load.stop()
system:check_summary(load.finish(60))
system:complete_switch()
expect(system:check_maps() >= 2, "switches that took effect")
system:check_invariants()

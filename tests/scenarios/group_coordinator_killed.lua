-- Property: in whichever phase of a map switch the agent of rank 0 is killed, its successor brings all ranks
-- to one map without a step on mixed maps, keeps a switch that any rank has committed, and can switch again.
-- No request is lost.
local system = require("group").start{ranks = 2, entries = 1}
local coordinator = system.ranks[0]
local load = system:start_load{rate = 10, seconds = 60, seed = 12}
system:complete_switch()

-- Rank 1 receives each order later than rank 0, so that the ranks are in different phases.
delay("engine-2", 60)
for number, phase in ipairs{"preparing", "prepared", "armed", "committed"} do
  control(system.weights, {slow_ms = phase == "preparing" and 1500 or 0})
  local planned, previous = system:switch_until(0, phase)
  kill(coordinator.name)
  system:start_daemon(coordinator)
  local final_digest = system:wait_idle(30)
  if phase == "committed" then
    expect_equal(final_digest, planned, "map after a kill at " .. phase)
  else
    expect(final_digest == planned or final_digest == previous,
           "a map that was not planned is in use after a kill at " .. phase)
  end
  if phase == "preparing" then expect_equal(final_digest, previous, "map after a kill at " .. phase) end
  expect_equal(system:expert_map().fencing, number + 1, "fencing token after a kill at " .. phase)
  system:check_maps()
  system:check_steps()
end
delay("engine-2", 0)
control(system.weights, {slow_ms = 0})
system:complete_switch()
load.stop()
system:check_summary(load.finish(60))
expect(system:check_maps() >= 3, "fewer than 3 switches took effect")
system:check_invariants()

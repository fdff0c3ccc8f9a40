-- Property: the coordinator plans at its interval and switches the group when the load has drifted, without
-- an order by an operator and without a step on mixed maps.
local system = require("group").start{ranks = 2, entries = 1, expert_interval_ms = 2000}
local load = system:start_load{rate = 10, seconds = 60, seed = 17}
within(40, "the group has switched twice", function()
  local coordinator_state = system:expert_map()
  return #stats(system.ranks[1].emulator).map_history >= 3 and coordinator_state.state == "idle"
end)
load.stop()
system:check_all_complete(load.finish(60))
local histories = {}
within(20, "the ranks have the same history of maps", function()
  for number, rank in pairs(system.ranks) do histories[number] = runner.encode(stats(rank.emulator).map_history) end
  return histories[0] == histories[1]
end)
for number, rank in pairs(system.ranks) do
  expect_equal(stats(rank.emulator).mixed_map_steps, 0, "steps on mixed maps at rank " .. number)
end
system:check_invariants()

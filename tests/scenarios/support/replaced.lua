-- Freezes the coordinator of a group at points of a switch, replaces it by another agent on the same host, and
-- resumes the old one later.

return function(options)
  local system = require("group").start(options)
  local load = system:flood{rate = 10, seconds = 60, seed = 16}
  system:complete_switch()
  delay("engine-2", 60)
  for number, phase in ipairs{"prepared", "armed", "committed"} do
    local old = system.ranks[0]
    local planned = system:switch_until(0, phase)
    freeze(old.name)
    local successor = setmetatable({name = "agent-successor-" .. number, peer_address = runner.free_address(),
                                    admin_address = runner.free_address()}, {__index = old})
    successor.admin = "http://" .. successor.admin_address
    for index, agent in ipairs(system.agents) do
      if agent == old then system.agents[index] = successor end
    end
    system.ranks[0] = successor
    system:set_hosts()
    system:start_daemon(successor)
    local found = system:wait_idle(30)
    if phase == "committed" then expect_equal(found, planned, "map after a freeze at " .. phase) end
    -- The old coordinator comes back in the middle of its successor's switch.
    local second = system:switch_until(0, "armed")
    resume(old.name)
    local digest = system:wait_idle(30)
    expect(digest == second or digest == found, "a map that the successor did not order")
    expect(system:check_maps() > 0, "no switch took effect")
    during(2, "the old coordinator changes nothing", function()
      return system:map_state(0).digest == digest and system:map_state(1).digest == digest
    end)
    system:check_steps()
    expect(system:order_switch(old).status ~= 202 or system:map_state(1).digest == digest,
           "an order to the old coordinator took effect")
    during(1, "an order to the old coordinator changes nothing", function()
      return system:map_state(0).digest == digest and system:map_state(1).digest == digest
    end)
    kill(old.name)
  end
  load.stop()
  system:check_summary(load.finish(60))
  system:complete_switch()
  system:check_maps()
  system:check_invariants()
end

-- Suspends the coordinator of a group in several phases of a map switch, replaces it by another agent on the
-- same host, and resumes the old coordinator later.

return function(options)
  local system = require("group").start(options)
  local load = system:start_load{rate = 10, seconds = 60, seed = 16}
  system:complete_switch()
  delay("engine-2", 60)
  for number, phase in ipairs{"prepared", "armed", "committed"} do
    local predecessor = system.ranks[0]
    local planned = system:switch_until(0, phase)
    suspend(predecessor.name)
    local successor = setmetatable({name = "agent-successor-" .. number, peer_address = runner.free_address(),
                                    admin_address = runner.free_address()}, {__index = predecessor})
    successor.admin = "http://" .. successor.admin_address
    for index, agent in ipairs(system.agents) do
      if agent == predecessor then system.agents[index] = successor end
    end
    system.ranks[0] = successor
    system:set_hosts()
    system:start_daemon(successor)
    local first_digest = system:wait_idle(30)
    if phase == "committed" then expect_equal(first_digest, planned, "map after a suspension at " .. phase) end
    -- The old coordinator is resumed during a switch of its successor.
    local second_digest = system:switch_until(0, "armed")
    resume(predecessor.name)
    local digest = system:wait_idle(30)
    expect(digest == second_digest or digest == first_digest, "a map that the successor did not plan is in use")
    expect(system:check_maps() > 0, "no switch took effect")
    during(2, "the old coordinator changes nothing", function()
      return system:map_state(0).digest == digest and system:map_state(1).digest == digest
    end)
    system:check_steps()
    expect(system:order_switch(predecessor).status ~= 202 or system:map_state(1).digest == digest,
           "an order to the old coordinator took effect")
    during(1, "an order to the old coordinator changes nothing", function()
      return system:map_state(0).digest == digest and system:map_state(1).digest == digest
    end)
    kill(predecessor.name)
  end
  load.stop()
  system:check_summary(load.finish(60))
  system:complete_switch()
  system:check_maps()
  system:check_invariants()
end

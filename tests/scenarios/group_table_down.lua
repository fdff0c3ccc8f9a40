-- Property: an outage of the table interrupts neither requests nor a map switch, and a second switch can
-- start during the outage; the digest is written to the table afterwards. The agent of another rank that
-- restarts during an outage takes part in switches again only after the outage, and until then the group
-- keeps its map.
local system = require("group").start{ranks = 2, entries = 1}
local function group_row()
  return runner.decode(http{url = system.table, path = "/v1/tables/groups/rows/tuning"}.body).value
end
local completions = {{name = "completion", weight = 1, kind = "completion", key = system.key,
                      model = "member-messages", max_tokens = 20}}
local load = system:start_load{rate = 15, seconds = 15, seed = 14, shares = completions}
system:start_switch()
system:outage("table", true)
system:wait_idle()
local second_digest = system:complete_switch()
local summary = load.finish()
system:check_all_complete(summary)
system:outage("table", false)
within(10, "the table has the digest", function() return group_row().digest == second_digest end)
expect_equal(group_row().fencing, 1, "fencing token")

system:outage("table", true)
load = system:start_load{rate = 15, seconds = 15, seed = 15, shares = completions}
kill(system.ranks[1].name)
system:start_daemon(system.ranks[1])
within(10, "the restarted agent is ready", function()
  return http{url = system.ranks[1].admin, path = "/readyz", timeout_ms = 500}.status == 200
end)
local third_digest = system:start_switch()
during(3, "the map stays the same while a rank cannot tell a coordinator from its predecessor", function()
  return system:map_state(0).digest == second_digest and system:map_state(1).phase ~= "armed"
end)
system:outage("table", false)
local final_digest = system:wait_idle()
expect(final_digest == third_digest or final_digest == second_digest,
       "a map that was not planned is in use after the outage")
system:complete_switch()
load.finish()
system:check_maps()
system:check_invariants()

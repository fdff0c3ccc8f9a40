-- Property: when two operators apply different changes to the same version at the same time, one change is
-- accepted and the other operator gets a conflict. The accepted configuration is in force in all processes
-- within 5 s and no process returns to an older one.
local system = require("system").start{engines = 2, services = 1}

local function version_of(process)
  local response = http{url = process.admin, path = "/status"}
  expect_equal(response.status, 200, "status of " .. process.name)
  return expect(runner.decode(response.body).configuration_version, "no configuration_version in /status")
end
local function all_processes()
  local all = {}
  for _, list in ipairs{system.entries, system.agents} do
    for _, process in ipairs(list) do all[#all + 1] = process end
  end
  return all
end

local highest_version = {}
local expected = version_of(system.entries[1])
for round = 1, 3 do
  local commands = {}
  for _, operator in ipairs{"meera", "pedro"} do
    local file = runner.directory .. "/" .. operator .. ".toml"
    runner.write_file(file, system:manifest{note = operator .. "-" .. round})
    commands[#commands + 1] = system:start_apply(file, expected)
  end
  local accepted = 0
  for _, name in ipairs(commands) do
    local code, text = finish_command(name)
    expect(code == 0 or code == 3, "exit code " .. code .. ": " .. text)
    if code == 0 then accepted = accepted + 1 end
  end
  expect_equal(accepted, 1, "accepted changes of round " .. round)
  expected = expected + 1
  within(5, "version " .. expected .. " is in force in all processes", function()
    local in_force = true
    for _, process in ipairs(all_processes()) do
      local version = version_of(process)
      expect(version >= (highest_version[process.name] or 0), process.name .. " returned to version " .. version)
      highest_version[process.name] = version
      in_force = in_force and version == expected
    end
    return in_force
  end)
end
system:check_invariants()

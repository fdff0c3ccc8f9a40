-- Property: of two operators who apply different changes to the same version at once, one wins and the other gets a
-- conflict; the accepted configuration is in force everywhere within 5 s and never reverts.
local system = require("system").start{engines = 2, services = 1}

local function version_of(process)
  local answer = http{url = process.admin, path = "/status"}
  expect_equal(answer.status, 200, "status of " .. process.name)
  return expect(runner.decode(answer.body).configuration_version, "no configuration_version in /status")
end
local function processes()
  local all = {}
  for _, list in ipairs{system.entries, system.agents} do
    for _, process in ipairs(list) do all[#all + 1] = process end
  end
  return all
end

local highest = {}
local expected = version_of(system.entries[1])
for round = 1, 3 do
  local commands = {}
  for _, operator in ipairs{"meera", "pedro"} do
    local file = runner.directory .. "/" .. operator .. ".toml"
    runner.write_file(file, system:manifest{note = operator .. "-" .. round})
    commands[#commands + 1] = system:start_apply(file, expected)
  end
  local won = 0
  for _, name in ipairs(commands) do
    local code, text = finish_command(name)
    expect(code == 0 or code == 3, "exit code " .. code .. ": " .. text)
    if code == 0 then won = won + 1 end
  end
  expect_equal(won, 1, "accepted changes of round " .. round)
  expected = expected + 1
  within(5, "version " .. expected .. " is in force everywhere", function()
    local everywhere = true
    for _, process in ipairs(processes()) do
      local version = version_of(process)
      expect(version >= (highest[process.name] or 0), process.name .. " went back to " .. version)
      highest[process.name] = version
      everywhere = everywhere and version == expected
    end
    return everywhere
  end)
end
system:check_invariants()

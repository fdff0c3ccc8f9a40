-- Property: a settings file that cannot be read does not change the planned stop of a gateway; a valid one
-- does.
local file = runner.directory .. "/gateway.toml"
local addresses = ""
for _, key in ipairs{"address", "ready_address", "directory_address", "mirror_address", "report_address"} do
  addresses = addresses .. key .. ' = "' .. runner.free_address() .. '"\n'
end
local store_url = 'store_url = "http://' .. runner.free_address() .. '"\n'  -- Nothing listens there.
local function settings(further_lines)
  return 'role = "gateway"\nname = "gateway"\navailability_zone = "z"\n' .. addresses .. store_url .. further_lines
end
local function logged(text)
  local _, count = runner.output("gateway"):gsub('"message":"' .. text .. '"', "")
  return count
end

runner.write_file(file, settings("directory_ttl_ms = 20000\ngrace_s = 60\n"))
start("gateway", "cuminpathd", {"--settings", file})
within(10, "the gateway has started", function() return logged("started") == 1 end)
stop("gateway")
within(5, "the gateway leaves", function() return logged("leaving") == 1 end)

-- Any of these values would end the process at once.
local shorter = "directory_ttl_ms = 100\ngrace_s = 0.5\n"
local broken = {settings(shorter .. "unknown_key = 1\n"), settings(shorter .. "retry_ratio = 2\n"),
                settings(shorter .. "grace_ms = 500\n"), settings(shorter .. "name ="), shorter, "", "\0\255"}
for number, text in ipairs(broken) do
  runner.write_file(file, text)
  reload("gateway")
  within(5, "the gateway rejects file " .. number, function()
    expect(not exit_status("gateway"), "ended after file " .. number)
    return logged("settings not reloaded") == number
  end)
  during(0.2, "the gateway runs after file " .. number, function() return not exit_status("gateway") end)
end
os.remove(file)
reload("gateway")
within(5, "the gateway misses the file", function() return logged("settings not reloaded") == #broken + 1 end)
during(1, "the gateway runs", function() return not exit_status("gateway") end)
expect_equal(logged("settings reloaded"), 0, "reloads")

runner.write_file(file, settings(shorter))
reload("gateway")
within(5, "the gateway has ended", function() return exit_status("gateway") end)
expect_equal(exit_status("gateway"), 0, "exit status")

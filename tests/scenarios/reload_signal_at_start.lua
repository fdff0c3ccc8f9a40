-- Property: SIGHUP does not end a process that is still reading its settings.
local system = require("system").start{engines = 1, services = 1, entries = 1}
local entry = system.entries[1]
local settings = runner.read_file(runner.directory .. "/" .. entry.name .. ".toml")
kill(entry.name)

local pipe_name = runner.directory .. "/settings.pipe"
expect(os.execute("mkfifo '" .. pipe_name .. "'"), "mkfifo")
start(entry.name, "cuminpathd", {"--settings", pipe_name})
local pipe = expect(io.open(pipe_name, "w"))  -- Returns when the process has opened the pipe, too.
reload(entry.name)
during(0.5, entry.name .. " reads its settings", function() return not exit_status(entry.name) end)
pipe:write(settings)
pipe:close()
system:wait_ready()

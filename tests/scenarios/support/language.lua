-- The functions that every scenario uses, built on the Lua interface of the runner
-- (source/scenario/lua_interface.h).

local language = {}

-- Returns the time on a monotonic clock in seconds.
function now() return runner.now() end

-- Fails the scenario unless the condition holds.
function expect(condition, message)
  if not condition then error(message or "expectation failed", 2) end
  return condition
end

-- Fails the scenario unless two values are equal.
function expect_equal(actual, wanted, message)
  if actual ~= wanted then
    error(string.format("%s: expected %s, found %s", message or "value", tostring(wanted), tostring(actual)), 2)
  end
end

-- Waits until the condition returns a true value, and returns that value; fails after the given number of
-- seconds. The message may be a function, which is called only if the wait fails.
function within(seconds, message, condition)
  local deadline = runner.now() + seconds
  while true do
    local value = condition()
    if value then return value end
    if runner.now() > deadline then
      local text = type(message) == "function" and message() or message
      error(string.format("not within %s s: %s", seconds, text), 2)
    end
    runner.poll(10)
  end
end

-- Fails if the condition does not hold at some time during the given number of seconds.
function during(seconds, message, condition)
  local deadline = runner.now() + seconds
  while runner.now() < deadline do
    if not condition() then error("did not hold: " .. message, 2) end
    runner.poll(20)
  end
end

-- Metatable of requests: gives them the fields of the result once the request has ended; `done` is true from
-- then on.
local result_metatable = {
  __index = function(self, key)
    local result = rawget(self, "result")
    if not result then
      result = runner.result(self.id)
      if result then rawset(self, "result", result) end
    end
    if key == "done" then return result ~= nil end
    return result and result[key]
  end
}

-- Sends a request of a caller. Fields: url, kind (completion, chat, service), key, priority, model, prompt,
-- max_tokens, stream, method, path, body, idempotency_key, request_id, deadline_ms, timeout_ms. The result
-- has outcome, status, text, problem, headers, tokens, first_ms, total_ms and detail.
function request(description)
  return setmetatable({id = runner.request(description), description = description}, result_metatable)
end

-- Waits until a request, or every request of a list, has ended.
function finish(requests, seconds)
  if requests.id then requests = {requests} end
  within(seconds or 30, "all requests have ended", function()
    for _, call in ipairs(requests) do
      if not call.done then return false end
    end
    return true
  end)
end

-- Sends a plain HTTP request and waits for its response. Fields: url, method, path, headers, body,
-- timeout_ms.
function http(description)
  local sent = setmetatable({id = runner.http(description)}, result_metatable)
  finish(sent, (description.timeout_ms or 5000) / 1000 + 5)
  return sent
end

-- Starts to send requests at a rate. Fields: urls, rate, seconds, seed, and shares, each with name, weight
-- and the fields of request(). summary() has sent, skipped, in_flight, done, not_run and shares[name] with
-- sent, outcomes, statuses and examples.
function start_load(options)
  local load = {id = runner.start_load(options)}
  function load.summary() return runner.load_summary(load.id) end
  function load.stop() runner.stop_load(load.id) end
  function load.finish(seconds)
    within(seconds or options.seconds + 30, "the load has ended", function() return load.summary().done end)
    return load.summary()
  end
  return load
end

-- Starts a program as the process `name`; see also start_emulator() and the functions of system.lua.
function start(name, program, arguments) return runner.start(name, program, arguments or {}) end

-- Starts an emulator and returns its base URL. The names of options are written with underscores for hyphens.
function start_emulator(name, role, options, address)
  local arguments = {role, "--address=" .. (address or "127.0.0.1:0")}
  for key, value in pairs(options or {}) do
    local option = "--" .. key:gsub("_", "-")
    arguments[#arguments + 1] = value == true and option or option .. "=" .. tostring(value)
  end
  start(name, "cuminpath-emulator", arguments)
  return "http://" .. within(10, name .. " listens", function()
    expect(not runner.exit_status(name), name .. " has ended")
    local line = runner.output(name)
    return line:find("\n") and runner.decode(line).address
  end)
end

function kill(name)
  runner.signal(name, "KILL")
  within(5, name .. " has ended", function() return runner.exit_status(name) end)
end
-- Suspends a process (SIGSTOP) until resume().
function suspend(name) runner.signal(name, "STOP") end
function resume(name) runner.signal(name, "CONT") end
-- Starts the graceful shutdown of a process (SIGTERM).
function stop(name) runner.signal(name, "TERM") end
function interrupt(name) runner.signal(name, "INT") end
-- Makes a process reload its settings (SIGHUP).
function reload(name) runner.signal(name, "HUP") end
-- Returns the exit status of a process, or nil while it runs.
function exit_status(name) return runner.exit_status(name) end

-- start_command() starts a program and returns the name of its process. finish_command() waits for its end
-- and returns its exit code and its standard output. command() does both.
local command_count = 0
function start_command(program, arguments)
  command_count = command_count + 1
  local name = "command-" .. command_count
  start(name, program, arguments)
  return name
end
function finish_command(name, seconds)
  local code = within(seconds or 20, name .. " has ended", function() return runner.exit_status(name) end)
  return code, runner.output(name)
end
function command(program, arguments) return finish_command(start_command(program, arguments)) end

-- Opens a forwarder to the host of a base URL and returns the URL to use instead.
function forward(name, url)
  return "http://" .. runner.open_forwarder(name, url:gsub("^http://", ""))
end
function cut(name) runner.cut(name) end
function heal(name) runner.heal(name) end
function delay(name, ms) runner.delay(name, ms) end

-- Sets the injected faults of an emulator.
function control(url, settings)
  local response = http{url = url, method = "POST", path = "/control", body = runner.encode(settings)}
  expect(response.status == 200, "control: " .. tostring(response.error or response.body))
end
-- Returns the counts of an emulator.
function stats(url)
  local response = http{url = url, path = "/stats"}
  expect(response.status == 200, "stats: " .. tostring(response.error))
  return runner.decode(response.body)
end

-- Returns how many requests of a list ended with each outcome.
function outcomes(requests)
  local counts = {}
  for _, call in ipairs(requests) do
    local outcome = call.outcome or "open"
    counts[outcome] = (counts[outcome] or 0) + 1
  end
  return counts
end

-- Returns a description of the result of a request for a failure message.
function describe(call)
  return string.format("%s %s %s %s", call.outcome, call.status, call.detail or "",
                       call.problem and runner.encode(call.problem) or "")
end

return language

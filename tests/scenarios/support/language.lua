-- The words of the test language, on top of the functions of the runner (source/scenario/vocabulary.h).

local language = {}

-- Lets open work go on and returns the time in seconds.
function now() return runner.now() end

-- Fails the scenario unless the condition holds.
function expect(condition, message)
  if not condition then error(message or "expectation failed", 2) end
  return condition
end

-- Fails unless two values are the same.
function expect_equal(actual, wanted, message)
  if actual ~= wanted then
    error(string.format("%s: expected %s, found %s", message or "value", tostring(wanted), tostring(actual)), 2)
  end
end

-- Waits until the condition returns a true value and returns it; fails after so many seconds. The message may be a
-- function, which is called when the wait has failed.
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

-- Fails if the condition stops holding during so many seconds.
function during(seconds, message, condition)
  local deadline = runner.now() + seconds
  while runner.now() < deadline do
    if not condition() then error("did not hold: " .. message, 2) end
    runner.poll(20)
  end
end

-- A table whose fields are those of the result of a request once it has ended; `done` tells whether it has.
local pending = {
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

-- Sends one request of a caller. Fields: url, kind (completion, chat, service), key, priority, model, prompt,
-- max_tokens, stream, method, path, body, idempotency_key, request_id, deadline_ms, timeout_ms. The result has
-- outcome, status, text, problem, headers, tokens, first_ms, total_ms and detail.
function request(order)
  return setmetatable({id = runner.request(order), order = order}, pending)
end

-- Waits for the end of a request or of each request of a list.
function finish(requests, seconds)
  if requests.id then requests = {requests} end
  within(seconds or 30, "all requests have ended", function()
    for _, one in ipairs(requests) do
      if not one.done then return false end
    end
    return true
  end)
end

-- Sends a plain HTTP request and waits for its response. Fields: url, method, path, headers, body, timeout_ms.
function http(order)
  local sent = setmetatable({id = runner.http(order)}, pending)
  finish(sent, (order.timeout_ms or 5000) / 1000 + 5)
  return sent
end

-- Sends requests at a rate. Fields: urls, rate, seconds, seed, and shares, each with name, weight and the
-- fields of request(). summary() has sent, skipped, in_flight, done, not_run and shares[name] with
-- sent, outcomes, statuses and examples.
function flood(options)
  local load = {id = runner.start_load(options)}
  function load.summary() return runner.load_summary(load.id) end
  function load.stop() runner.stop_load(load.id) end
  function load.finish(seconds)
    within(seconds or options.seconds + 30, "the load has ended", function() return load.summary().done end)
    return load.summary()
  end
  return load
end

-- Starts a program under a name; see also start_emulator() and the functions of system.lua.
function start(name, program, arguments) return runner.start(name, program, arguments or {}) end

-- Starts an emulator and returns its base URL. Names of options have underscores instead of hyphens.
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
function freeze(name) runner.signal(name, "STOP") end
function resume(name) runner.signal(name, "CONT") end
-- Starts a graceful shutdown.
function stop(name) runner.signal(name, "TERM") end
function ended(name) return runner.exit_status(name) end

-- Runs a program and waits for its end: exit code and standard output.
local commands = 0
function start_command(program, arguments)
  commands = commands + 1
  local name = "command-" .. commands
  start(name, program, arguments)
  return name
end
function finish_command(name, seconds)
  local code = within(seconds or 20, name .. " has ended", function() return runner.exit_status(name) end)
  return code, runner.output(name)
end
function command(program, arguments) return finish_command(start_command(program, arguments)) end

-- Puts a forwarder in front of a base URL and returns the URL to use instead.
function forward(name, url)
  return "http://" .. runner.open_forwarder(name, url:gsub("^http://", ""))
end
function cut(name) runner.cut(name) end
function heal(name) runner.heal(name) end
function delay(name, ms) runner.delay(name, ms) end

-- Fault injection and counts of an emulator.
function control(url, orders)
  local answer = http{url = url, method = "POST", path = "/control", body = runner.encode(orders)}
  expect(answer.status == 200, "control: " .. tostring(answer.error or answer.body))
end
function stats(url)
  local answer = http{url = url, path = "/stats"}
  expect(answer.status == 200, "stats: " .. tostring(answer.error))
  return runner.decode(answer.body)
end

-- How many requests of a list ended in each way.
function outcomes(requests)
  local counts = {}
  for _, one in ipairs(requests) do
    local what = one.outcome or "open"
    counts[what] = (counts[what] or 0) + 1
  end
  return counts
end

-- Text of a request for a failure message.
function describe(one)
  return string.format("%s %s %s %s", one.outcome, one.status, one.detail or "",
                       one.problem and runner.encode(one.problem) or "")
end

return language

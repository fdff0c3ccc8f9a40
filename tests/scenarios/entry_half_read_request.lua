-- Property: an entry that is being stopped does not end while a request is half read, and answers it.
local system = require("system").start{engines = 1, services = 1}
local entry = system.entries[1]

-- Sends what is written to the pipe over one connection and keeps what comes back.
local request_pipe, response_file = runner.directory .. "/request.pipe", runner.directory .. "/response"
expect(os.execute("mkfifo '" .. request_pipe .. "'"), "mkfifo")
os.execute(string.format([[bash -c 'exec 3<>/dev/tcp/%s; cat "%s" >&3; cat <&3 >"%s"' &]],
                         entry.address:gsub(":", "/"), request_pipe, response_file))
runner.write_file(response_file, "")
local pipe = expect(io.open(request_pipe, "w"))
pipe:write("GET /v1/entries HTTP/1.1\r\nHost: " .. entry.address .. "\r\n")
pipe:flush()

stop(entry.name)
within(20, "the entry accepts no connections", function()
  return http{url = entry.url, path = "/v1/entries", headers = {Connection = "close"}}.status == 0
end)
during(1, "the entry runs", function() return not exit_status(entry.name) end)
pipe:write("\r\n")
pipe:close()
local response
within(5, "the request has a response", function()
  response = runner.read_file(response_file)
  return response:find("\r\n\r\n", 1, true)
end)
expect(response:find("HTTP/1.1 200", 1, true) == 1, response)
expect(response:find("Connection: close", 1, true), response)
within(20, "the entry has ended", function() return exit_status(entry.name) end)
expect_equal(exit_status(entry.name), 0, "exit status")

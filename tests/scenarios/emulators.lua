-- Property: the checks that the scenarios use detect the failures that they are meant for. Runs against the
-- emulators alone: an incomplete, lost or repeated response is detected, and a fault lasts until it is ended.
local engine = start_emulator("engine", "engine", {slots = 2, token_interval_ms = 5, first_token_ms = 5})
local service = start_emulator("service", "service")
local tables = start_emulator("table", "table")

local function complete(url, description)
  description = description or {}
  description.url, description.prompt = url, description.prompt or "p"
  return request(description)
end

-- A complete response, a response that is cut off, and a response of a process that is killed.
local completed = complete(engine, {max_tokens = 5})
finish(completed)
expect_equal(completed.outcome, "complete", describe(completed))
control(engine, {fail_after_tokens = 2})
local broken = complete(engine, {max_tokens = 5})
finish(broken)
expect_equal(broken.outcome, "broken", describe(broken))
control(engine, {fail_after_tokens = 0})
local killed = complete(engine, {max_tokens = 100000})
within(5, "the stream runs", function() return stats(engine).running == 1 end)
kill("engine")
finish(killed)
expect_equal(killed.outcome, "broken", describe(killed))
expect_equal(exit_status("engine"), 128 + 9, "exit status")

-- The service counts two runs of the same call.
for _ = 1, 2 do
  http{url = service, method = "POST", path = "/replacements", headers = {["Idempotency-Key"] = "k"}}
end
expect_equal(stats(service).runs.k, 2, "runs")

-- A suspended process does not respond until it is resumed.
suspend("service")
expect(http{url = service, path = "/stats", timeout_ms = 200}.error, "a suspended process responded")
resume("service")
expect_equal(stats(service).runs.k, 2, "runs")

-- cut() holds data back, and heal() delivers it.
local link = forward("link", service)
expect_equal(http{url = link, path = "/stats"}.status, 200)
cut("link")
expect(http{url = link, path = "/stats", timeout_ms = 200}.error, "data passed a cut link")
local held_back = request{url = link, kind = "service", method = "GET", path = "/sheets"}
during(0.2, "no response on a cut link", function() return not held_back.done end)
heal("link")
finish(held_back, 5)
expect_equal(held_back.outcome, "complete", describe(held_back))
delay("link", 100)
local delayed = request{url = link, kind = "service", method = "GET", path = "/sheets"}
finish(delayed, 5)
expect(delayed.total_ms >= 200, "the delay had no effect: " .. delayed.total_ms)

-- An outage of the table service, and a response that is lost after the write took effect.
control(tables, {lose_responses = 1})
local row = "/v1/tables/t/rows/k"
local body = runner.encode{value = 1, if_version = 0}
expect(http{url = tables, method = "PUT", path = row, body = body}.error, "the response was not lost")
expect_equal(http{url = tables, method = "PUT", path = row, body = body}.status, 409, "the write took no effect")
control(tables, {down = true})
expect(http{url = tables, path = row}.error, "a service responded during its outage")
control(tables, {down = false})
expect_equal(http{url = tables, path = row}.status, 200)

-- The load generator counts the outcomes of its requests.
local load = start_load{urls = {service}, rate = 200, seconds = 0.5,
                   shares = {{name = "booking", kind = "service", path = "/replacements"}}}
local summary = load.finish()
expect_equal(summary.shares.booking.outcomes.complete, summary.sent, "complete responses")
expect(summary.sent >= 90, "sent " .. summary.sent)

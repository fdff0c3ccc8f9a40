-- Property: the checks of the scenarios see what they are for. Runs against the emulators alone: a wrong, lost
-- or repeated response is noticed, and a fault lasts until it is ended.
local engine = start_emulator("engine", "engine", {slots = 2, token_interval_ms = 5, first_token_ms = 5})
local service = start_emulator("service", "service")
local tables = start_emulator("table", "table")

local function complete(url, order)
  order = order or {}
  order.url, order.prompt = url, order.prompt or "p"
  return request(order)
end

-- A complete response, one that is cut off, and one of a process that was killed.
local whole = complete(engine, {max_tokens = 5})
finish(whole)
expect_equal(whole.outcome, "complete", describe(whole))
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
expect_equal(ended("engine"), 128 + 9, "exit status")

-- Two runs of one call are counted.
for _ = 1, 2 do
  http{url = service, method = "POST", path = "/replacements", headers = {["Idempotency-Key"] = "k"}}
end
expect_equal(stats(service).runs.k, 2, "runs")

-- A frozen process does not respond until it is resumed.
freeze("service")
expect(http{url = service, path = "/stats", timeout_ms = 200}.error, "a frozen process responded")
resume("service")
expect_equal(stats(service).runs.k, 2, "runs")

-- A cut holds data back, and heal() delivers it.
local link = forward("link", service)
expect_equal(http{url = link, path = "/stats"}.status, 200)
cut("link")
expect(http{url = link, path = "/stats", timeout_ms = 200}.error, "data passed a cut link")
local waiting = request{url = link, kind = "service", method = "GET", path = "/sheets"}
during(0.2, "no response on a cut link", function() return not waiting.done end)
heal("link")
finish(waiting, 5)
expect_equal(waiting.outcome, "complete", describe(waiting))
delay("link", 100)
local slow = request{url = link, kind = "service", method = "GET", path = "/sheets"}
finish(slow, 5)
expect(slow.total_ms >= 200, "the delay had no effect: " .. slow.total_ms)

-- An outage of the platform, and a response that is lost after the write.
control(tables, {lose_responses = 1})
local row = "/v1/tables/t/rows/k"
local body = runner.encode{value = 1, if_version = 0}
expect(http{url = tables, method = "PUT", path = row, body = body}.error, "the response was not lost")
expect_equal(http{url = tables, method = "PUT", path = row, body = body}.status, 409, "the write took no effect")
control(tables, {down = true})
expect(http{url = tables, path = row}.error, "a service that is down responded")
control(tables, {down = false})
expect_equal(http{url = tables, path = row}.status, 200)

-- The load generator counts outcomes.
local load = flood{urls = {service}, rate = 200, seconds = 0.5,
                   shares = {{name = "booking", kind = "service", path = "/replacements"}}}
local summary = load.finish()
expect_equal(summary.shares.booking.outcomes.complete, summary.sent, "complete responses")
expect(summary.sent >= 90, "sent " .. summary.sent)

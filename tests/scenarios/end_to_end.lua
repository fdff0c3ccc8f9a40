-- Property: a streamed completion and a booking end to end give one complete response each, and a retry of the
-- booking with the same key gives the same response without a second run.
local system = require("system").start{entries = 2, engines = 2, services = 2}

for _, kind in ipairs{"completion", "chat"} do
  for _, stream in ipairs{true, false} do
    local one = system:complete{kind = kind, stream = stream, max_tokens = 12, prompt = kind .. tostring(stream)}
    finish(one)
    expect_equal(one.outcome, "complete", describe(one))
    expect(one.headers["x-request-id"], "no request id")
  end
end

local first = system:book{idempotency_key = "k1", body = '{"household":7}'}
finish(first)
expect_equal(first.outcome, "complete", describe(first))
expect(runner.decode(first.text).booking, "no booking number")
local again = system:book{entry = 2, idempotency_key = "k1", body = '{"household":7}'}
finish(again)
expect_equal(again.outcome, "complete", describe(again))
expect_equal(again.text, first.text, "response to the retry")
expect_equal(system:runs("k1"), 1, "runs")

local other = system:book{idempotency_key = "k1", body = '{"household":8}'}
finish(other)
expect_equal(other.status, 422, describe(other))
expect_equal(other.outcome, "not_run")
local without = system:book{idempotency_key = ""}
finish(without)
expect_equal(without.status, 400, describe(without))
local stranger = system:complete{key = "nobody"}
finish(stranger)
expect_equal(stranger.status, 401, describe(stranger))

local entries = http{url = system.entries[1].url, path = "/v1/entries"}
expect_equal(entries.status, 200, "entries")
expect_equal(#runner.decode(entries.body).entries, 2, "entries in the list")
system:check_invariants()

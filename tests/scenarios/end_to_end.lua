-- Property: completions (streamed or not) and a booking give one complete response each, end to end, and a
-- retry of the booking with the same key gives the same response without a second run.
local system = require("system").start{entries = 2, engines = 2, services = 2}

for _, kind in ipairs{"completion", "chat"} do
  for _, stream in ipairs{true, false} do
    local call = system:complete{kind = kind, stream = stream, max_tokens = 12, prompt = kind .. tostring(stream)}
    finish(call)
    expect_equal(call.outcome, "complete", describe(call))
    expect(call.headers["x-request-id"], "no request id")
  end
end

local first = system:book{idempotency_key = "k1", body = '{"household":7}'}
finish(first)
expect_equal(first.outcome, "complete", describe(first))
expect(runner.decode(first.text).booking, "no booking number")
local retry = system:book{entry = 2, idempotency_key = "k1", body = '{"household":7}'}
finish(retry)
expect_equal(retry.outcome, "complete", describe(retry))
expect_equal(retry.text, first.text, "response to the retry")
expect_equal(system:runs("k1"), 1, "runs")

local different_body = system:book{idempotency_key = "k1", body = '{"household":8}'}
finish(different_body)
expect_equal(different_body.status, 422, describe(different_body))
expect_equal(different_body.outcome, "not_run")
local without_key = system:book{idempotency_key = ""}
finish(without_key)
expect_equal(without_key.status, 400, describe(without_key))
local unknown_caller = system:complete{key = "nobody"}
finish(unknown_caller)
expect_equal(unknown_caller.status, 401, describe(unknown_caller))

local entries = http{url = system.entries[1].url, path = "/v1/entries"}
expect_equal(entries.status, 200, "entries")
expect_equal(#runner.decode(entries.body).entries, 2, "entries in the list")
system:check_invariants()

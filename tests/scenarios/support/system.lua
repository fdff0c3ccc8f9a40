-- A complete local system: emulators of the platform, engines and services with their agents, and entries.

local system = {}
system.__index = system

local root = debug.getinfo(1, "S").source:sub(2):gsub("tests/scenarios/support/system%.lua$", "")
local operator_key = "operator-sample-key"

local function fill_template(template, values)
  return (template:gsub("%${([%w_]+)}", function(name)
    return tostring(expect(values[name], "no value for " .. name))
  end))
end

-- Returns the manifest of the system. `changes` may have slots, workspace_share and note, the name of an
-- additional workspace, so that each note makes a different manifest.
function system:manifest(changes)
  changes = changes or {}
  local parts = {}
  local function add(text, values) parts[#parts + 1] = fill_template(text, values or {}) end
  local floors = {urgent = 0.5, booking = 0.2, digest = 0.1}
  for rank, class in ipairs{"urgent", "booking", "digest"} do
    local target = self.options.targets[class]
    add('[[priority_class]]\nname = "${class}"\nrank = ${rank}\nfloor = ${floor}\n' .. (target and
      "total_target_ms = " .. target .. "\n" or ""), {class = class, rank = rank - 1, floor = floors[class]})
  end
  add('[[model]]\nname = "member-messages"\nmax_tokens = 4096\nlayers = 2\nexperts = 8\nexpert_bytes = 65536\n')
  if self.options.ranks > 0 then
    add('[[group]]\nname = "tuning"\nmodel = "member-messages"\nranks = ${ranks}\n', self.options)
  end
  add('[[service]]\nname = "bookings"\n' ..
      '[[service.rule]]\nmethod = "POST"\npath_prefix = "/quotes"\nrepeatable = true\n')
  local workspaces = {{"narmada", 2}, {"calabaza", changes.workspace_share or 1}}
  if changes.note then workspaces[3] = {changes.note, 1} end
  for _, workspace in ipairs(workspaces) do
    add('[[workspace]]\nname = "${name}"\nkey_sha256 = ["${key}"]\nshare = ${share}\n' ..
        'classes = ["urgent", "booking", "digest"]\ndefault_class = "booking"\n',
        {name = workspace[1], key = runner.sha256(workspace[1] .. "-key"), share = workspace[2]})
  end
  for _, agent in ipairs(self.agents) do
    add('[[upstream]]\nname = "${upstream}"\nhost = "${host}"\nkind = "${kind}"\n${kind_key} = "${target}"\n' ..
        'slots = ${slots}\n', {upstream = agent.upstream, host = agent.host, kind = agent.kind,
        kind_key = agent.kind == "engine" and "model" or "service",
        target = agent.kind == "engine" and "member-messages" or "bookings",
        slots = changes.slots or self.options.slots})
    if agent.rank then
      add('group = "tuning"\nrank = ${rank}\nchecks_fencing = ${checks}\n',
          {rank = agent.rank, checks = tostring(not self.options.ignore_fencing)})
    end
  end
  return table.concat(parts, "\n")
end

-- Writes a manifest to the platform as the next version of the configuration, and returns the version.
function system:publish(text, based_on)
  local parts = runner.split_manifest(text)
  parts.contents[runner.sha256(parts.index)] = parts.index
  for digest, content in pairs(parts.contents) do
    local response = http{url = self.objects, method = "PUT", path = "/v1/objects/" .. digest, body = content}
    expect_equal(response.status, 200, "object")
  end
  local row = http{url = self.table, path = "/v1/tables/configuration/rows/head"}
  local current = row.status == 200 and runner.decode(row.body) or {version = 0, value = {version = 0}}
  local version = current.value.version + 1
  local value = {version = version, index = runner.sha256(parts.index)}
  local response = http{url = self.table, method = "PUT", path = "/v1/tables/configuration/rows/head",
                      body = runner.encode{value = value, if_version = current.version}}
  expect_equal(response.status, 200, "head row")
  return version
end

-- Sets the host list. Hosts in `leaving` (a set of host names) are marked as leaving; hosts in `absent`
-- (likewise) are left out.
function system:set_hosts(leaving, absent)
  local hosts = setmetatable({}, {array = true})
  for _, list in ipairs{self.entries, self.agents} do
    for _, process in ipairs(list) do
      if not (absent or {})[process.host] then
        hosts[#hosts + 1] = {name = process.host, role = process.role, availability_zone = process.availability_zone,
          region = "guj-south", address = process.address or "", peer_address = process.peer_address,
          admin_address = process.admin_address, state = (leaving or {})[process.host] and "leaving" or "live"}
      end
    end
  end
  control(self.hosts, {hosts = hosts, lag_ms = 0})
end

function system:start_daemon(process)
  local file = runner.directory .. "/" .. process.name .. ".toml"
  local template = runner.read_file(root .. "data/" .. process.role .. ".toml.in")
  local seeds = {}
  for _, list in ipairs{self.entries, self.agents} do
    for _, other in ipairs(list) do
      if other ~= process and #seeds < 4 then seeds[#seeds + 1] = '"' .. other.peer_address .. '"' end
    end
  end
  runner.write_file(file, fill_template(template, setmetatable({
    region = "guj-south", availability_zone = process.availability_zone,
    operator_key_sha256 = runner.sha256(operator_key),
    seed_peers = table.concat(seeds, ", "), entries_ttl_ms = self.options.entries_ttl_ms,
    table = self.forwarded_urls.table, objects = self.forwarded_urls.objects, hosts = self.forwarded_urls.hosts,
    weights = self.forwarded_urls.weights}, {__index = process})) .. (process.settings or ""))
  start(process.name, "cuminpathd", {"--settings", file})
end

-- Returns true if every process reports that it is ready.
function system:ready()
  for _, list in ipairs{self.entries, self.agents} do
    for _, process in ipairs(list) do
      expect(not exit_status(process.name), process.name .. " has ended")
      if http{url = process.admin, path = "/readyz", timeout_ms = 500}.status ~= 200 then return false end
    end
  end
  return true
end

-- Waits until the processes are ready and each entry completes a completion and a booking.
function system:wait_ready()
  within(20, "all processes are ready", function() return self:ready() end)
  for number, entry in ipairs(self.entries) do
    within(15, entry.name .. " completes a request", function()
      local call = self:complete{entry = number, prompt = "warm up", max_tokens = 1}
      finish(call)
      return call.outcome == "complete"
    end)
    within(15, entry.name .. " completes a booking", function()
      local call = self:book{entry = number, path = "/services/bookings/quotes/1"}
      finish(call)
      return call.outcome == "complete"
    end)
  end
  return self
end

-- Starts all processes and waits until they are ready. Options: entries, engines, services (counts), slots,
-- token_interval_ms, first_token_ms, service_delay_ms, entries_ttl_ms, targets (total_target_ms of each
-- priority class). With `ranks` the engines are the ranks of one group, and expert_interval_ms, drift_steps
-- and ignore_fencing apply to it; see group.lua.
function system.start(options)
  local defaults = {entries = 2, engines = 4, services = 2, slots = 8, token_interval_ms = 20, first_token_ms = 30,
                    service_delay_ms = 5, entries_ttl_ms = 1000, targets = {}, ranks = 0, expert_interval_ms = 0,
                    drift_steps = 200, ignore_fencing = false}
  local self = setmetatable({options = setmetatable(options or {}, {__index = defaults}), entries = {}, agents = {},
                             forwarded_urls = {}, key = "narmada-key",
                             availability_zones = {"bharuch", "vadodara"}}, system)
  for _, role in ipairs{"table", "objects", "hosts", "weights"} do
    self[role] = start_emulator(role, role)
    self.forwarded_urls[role] = forward(role, self[role])
  end
  if self.options.ranks > 0 then
    self.options.engines = self.options.ranks
    self.rank_addresses = {}
    for number = 1, self.options.ranks do self.rank_addresses[number] = runner.free_address() end
  end
  for number = 1, self.options.engines do self:add_agent("engine", number) end
  for number = 1, self.options.services do self:add_agent("service", number) end
  for number = 1, self.options.entries do
    local entry = {name = "entry-" .. number, role = "entry", address = runner.free_address()}
    entry.url = "http://" .. entry.address
    self:add_process(entry, number)
    self.entries[number] = entry
  end
  self:set_hosts()
  self:publish(self:manifest())
  for _, list in ipairs{self.entries, self.agents} do
    for _, process in ipairs(list) do self:start_daemon(process) end
  end
  return self:wait_ready()
end

function system:add_process(process, number)
  process.host = process.name .. "-host"
  process.availability_zone = self.availability_zones[(number - 1) % #self.availability_zones + 1]
  process.peer_address = runner.free_address()
  process.admin_address = runner.free_address()
  process.admin = "http://" .. process.admin_address
end

function system:add_agent(kind, number)
  local upstream = kind .. "-" .. number
  local agent = {name = "agent-" .. upstream, upstream = upstream, kind = kind, role = "agent"}
  if kind == "engine" then
    local options = {slots = self.options.slots, model = "member-messages",
      token_interval_ms = self.options.token_interval_ms, first_token_ms = self.options.first_token_ms}
    if self.options.ranks > 0 then self:add_rank(agent, number, options) end
    agent.emulator = start_emulator(upstream, "engine", options, self.rank_addresses and self.rank_addresses[number])
  else
    agent.emulator = start_emulator(upstream, "service", {delay_ms = self.options.service_delay_ms})
  end
  agent.upstream_url = forward(upstream, agent.emulator)
  self:add_process(agent, number)
  self.agents[#self.agents + 1] = agent
end

-- Adds the options of an engine that is rank `number - 1` of the group, and the settings of its agent.
function system:add_rank(agent, number, options)
  agent.rank = number - 1
  agent.settings = "expert_interval_ms = " .. self.options.expert_interval_ms .. "\n"
  options.ranks, options.rank, options.weights = self.options.ranks, agent.rank, self.weights
  options.drift_steps = self.options.drift_steps
  options.ignore_fencing = self.options.ignore_fencing or nil
  local peers = {}
  for other, address in ipairs(self.rank_addresses) do
    if other ~= number then peers[#peers + 1] = "http://" .. address end
  end
  options.group_peers = table.concat(peers, ",")
end

-- Sends a completion. Takes the fields of request() and `entry`, the number of the entry to send it to.
function system:complete(description)
  description = description or {}
  description.url = description.url or self.entries[description.entry or 1].url
  description.kind = description.kind or "completion"
  description.key = description.key or self.key
  description.model = "member-messages"
  description.prompt = description.prompt or "remind the member of the cartridge"
  return request(description)
end

-- Sends a booking, which may not be repeated. Takes the same fields as complete().
local booking_count = 0
function system:book(description)
  description = description or {}
  booking_count = booking_count + 1
  description.url = description.url or self.entries[description.entry or 1].url
  description.kind = "service"
  description.key = description.key or self.key
  description.path = description.path or "/services/bookings/replacements"
  description.body = description.body or '{"household":' .. booking_count .. '}'
  description.idempotency_key = description.idempotency_key or "booking-" .. booking_count
  return request(description)
end

-- Starts a load of completions and bookings on all entries, or on those whose numbers are in the set
-- `entries`.
function system:start_load(options)
  options.urls = {}
  for number, entry in ipairs(self.entries) do
    if not options.entries or options.entries[number] then options.urls[#options.urls + 1] = entry.url end
  end
  options.shares = options.shares or {
    {name = "completion", weight = 4, kind = "completion", key = self.key, model = "member-messages", max_tokens = 20},
    {name = "booking", weight = 1, kind = "service", key = self.key, path = "/services/bookings/replacements",
     body = '{"household":1}'}}
  return start_load(options)
end

-- Returns how often the services ran the call with an idempotency key.
function system:runs(key)
  local count = 0
  for _, agent in ipairs(self.agents) do
    if agent.kind == "service" then count = count + (stats(agent.emulator).runs[key] or 0) end
  end
  return count
end

-- Returns the idempotency keys of the calls that ran more than once.
function system:repeated_runs()
  local counts, repeated = {}, {}
  for _, agent in ipairs(self.agents) do
    if agent.kind == "service" then
      for key, runs in pairs(stats(agent.emulator).runs) do counts[key] = (counts[key] or 0) + runs end
    end
  end
  for key, runs in pairs(counts) do
    if runs > 1 then repeated[#repeated + 1] = key end
  end
  return repeated
end

-- Returns how often the engines started streams for each prompt.
function system:starts_by_prompt()
  local counts = {}
  for _, agent in ipairs(self.agents) do
    if agent.kind == "engine" then
      for prompt, starts in pairs(stats(agent.emulator).starts_by_prompt) do
        counts[prompt] = (counts[prompt] or 0) + starts
      end
    end
  end
  return counts
end

-- Fails if one of these requests, identified by prompt or idempotency key, ran although its refusal stated
-- that it did not run. Requires that the emulators have not restarted, because they would have lost their
-- counts.
function system:check_not_run(identities)
  local starts = self:starts_by_prompt()
  for _, identity in ipairs(identities) do
    local runs = (starts[identity] or 0) + self:runs(identity)
    expect_equal(runs, 0, "runs of a request that was refused as not run: " .. identity)
  end
end

-- Fails unless each request ended with one complete response or a refusal that states truthfully whether it
-- ran.
function system:check_outcomes(requests)
  local not_run = {}
  for _, call in ipairs(requests) do
    local outcome = call.outcome
    expect(outcome == "complete" or outcome == "not_run" or outcome == "unknown" or outcome == "failed", describe(call))
    if outcome == "not_run" then not_run[#not_run + 1] = call.description.idempotency_key or call.description.prompt end
  end
  self:check_not_run(not_run)
end

-- Does the same check for the summary of a load. `allowed` is a set of further outcomes that may occur.
function system:check_summary(summary, allowed)
  for name, share in pairs(summary.shares) do
    for outcome, count in pairs(share.outcomes) do
      expect(outcome == "complete" or outcome == "not_run" or outcome == "unknown" or outcome == "failed" or
             (allowed or {})[outcome], name .. ": " .. count .. " " .. outcome .. ": " .. runner.encode(share.examples))
    end
  end
  self:check_not_run(summary.not_run)
end

-- Fails unless every request of a load got a complete response.
function system:check_all_complete(summary)
  for name, share in pairs(summary.shares) do
    expect_equal(share.outcomes.complete, share.sent, name .. " complete responses; " ..
                 runner.encode(share.outcomes) .. runner.encode(share.statuses) .. runner.encode(share.examples))
  end
  expect_equal(summary.skipped, 0, "skipped requests")
end

-- Returns how many requests the engines have started in total.
function system:starts()
  local total = 0
  for _, agent in ipairs(self.agents) do
    if agent.kind == "engine" then
      for _, count in pairs(stats(agent.emulator).starts) do total = total + count end
    end
  end
  return total
end

-- Asks a process through its admin address to shut down gracefully, and returns the response.
function system:drain(process)
  return http{url = process.admin, method = "POST", path = "/drain",
              headers = {Authorization = "Bearer " .. operator_key}}
end

function system:agent(name)
  for _, agent in ipairs(self.agents) do
    if agent.upstream == name then return agent end
  end
  error("no agent has the upstream " .. name)
end

-- Starts `cuminpath manifest apply` and returns the name of the command.
function system:start_apply(file, based_on)
  return start_command("cuminpath", {"manifest", "apply", file, "--table", self.table, "--objects", self.objects,
                                     "--hosts", self.hosts, "--based-on", based_on})
end

-- Starts or ends an outage of a part of the platform (table, objects, hosts).
function system:outage(part, down) control(self[part], {down = down}) end

-- Checks what holds in every scenario: each booking ran at most once, and no engine received a resume with a
-- text that differs from its own.
function system:check_invariants()
  local repeated = self:repeated_runs()
  expect(#repeated == 0, "calls that may not be repeated ran twice: " .. table.concat(repeated, ", "))
  for _, agent in ipairs(self.agents) do
    if agent.kind == "engine" and not exit_status(agent.upstream) then
      expect_equal(stats(agent.emulator).resume_mismatches, 0, "resumes with a wrong text at " .. agent.upstream)
    end
  end
end

return system

"""Fits straight lines to the points of scripts/capacity and computes the values at the size of the design."""


def line(points):
    """Fits a line by least squares and returns its value at 0 and its growth for each x."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance_sum = sum((x - mean_x) ** 2 for x, _ in points)
    growth = sum((x - mean_x) * (y - mean_y) for x, y in points) / variance_sum if variance_sum else 0.0
    return mean_y - growth * mean_x, growth


def points_of(points, slope, name):
    return [(point["x"], point["values"][name]) for point in points if point["slope"] == slope]


def format_value(value):
    return f"{value:.4g}" if abs(value) < 10000 else f"{value:,.0f}"


def slopes_table(points):
    rows = ["| slope | x | range | value | at the first point | at the last point | growth for each x |",
            "| --- | --- | --- | --- | --- | --- | --- |"]
    for slope in dict.fromkeys(point["slope"] for point in points):
        slope_points = [point for point in points if point["slope"] == slope]
        for name in slope_points[0]["values"]:
            values = points_of(points, slope, name)
            _, growth = line(values)
            rows.append(f"| {slope} | {slope_points[0]['x_name']} | {format_value(values[0][0])} to "
                        f"{format_value(values[-1][0])} | {name} | "
                        f"{format_value(values[0][1])} | {format_value(values[-1][1])} | {format_value(growth)} |")
    return "\n".join(rows) + "\n"


# The sizes and rates of section 1.4 of the design, and the limits that the values are compared with.
ENTRIES = 1200
AGENTS = 12000
MODELS = 13
REQUESTS = 48000 / ENTRIES  # Per second at each entry.
TOKENS = 15e6 / ENTRIES  # Per second at each entry.
CHANGES = 16000 / 86400  # Changes of the configuration per second.
IN_FLIGHT = TOKENS * 0.064
SUBSET = 24 * MODELS  # Agents that report to an entry.
SUBSCRIBERS = SUBSET * ENTRIES / AGENTS  # Entries that an agent reports to.
PEAK_REQUESTS, PEAK_TOKENS = 10 * REQUESTS, 10 * TOKENS  # Ten times the peak of an entry, on one core.
STORE_READERS = 33
REPORT_INTERVAL = 0.5  # Seconds.
SUBSCRIBE_INTERVAL = 4.0  # Seconds.
HOST_LIST_BYTES = 200 * (ENTRIES + AGENTS)
AGENT_LIST_INTERVAL = 1800  # Seconds.
LOAD_AGENTS = 4  # Agents in the load measurement, whose values are means over the agents.
EXPERT_LOAD_INTERVAL = 2.0  # Seconds; k_expert_load_interval of the agent.
MAX_TABLE_WRITES = 300  # Per second; the design allows several hundred.
MAX_TABLE_READS = 2000  # Per second.
MAX_CONTROL_BYTES = 10000  # Per second in each direction.
MAX_CONTROL_CORE_PERCENT = 2.8
MAX_RESIDENT_BYTES = 256e6


def fit_load(points, name):
    """Returns the processor time in microseconds for each second, each request and each token, fitted by least
    squares to all load points of one run."""
    rows = [(1.0, point["values"]["requests_per_s"], point["x"], point["values"][name] * 1e4)
            for point in points if point["slope"] == "load"]
    matrix = [[sum(row[i] * row[j] for row in rows) for j in range(3)] + [sum(row[i] * row[3] for row in rows)]
              for i in range(3)]
    for i in range(3):
        for j in range(3):
            if i != j:
                factor = matrix[j][i] / matrix[i][i]
                matrix[j] = [a - factor * b for a, b in zip(matrix[j], matrix[i])]
    return tuple(matrix[i][3] / matrix[i][i] for i in range(3))


def full_size_rows(points):
    """Returns tuples of role, quantity, formula, value, limit or None, size at which the limit is exceeded, and
    mechanism that causes the cost."""
    def last(slope, name):
        return points_of(points, slope, name)[-1][1]

    def growth(slope, name):
        return line(points_of(points, slope, name))[1]

    rows = []

    def add(role, quantity, formula, value, limit, breaks_at, mechanism):
        rows.append((role, quantity, formula, value, limit, breaks_at, mechanism))

    report, subscribe_bytes = last("routing", "report_bytes"), last("routing", "subscribe_bytes")
    heartbeats = last("membership", "heartbeat_bytes_sent_per_s")
    reply_bytes = last("configuration", "change_reply_bytes")
    ask_bytes = last("configuration", "change_ask_bytes")
    host_list_bytes = HOST_LIST_BYTES / ((ENTRIES + AGENTS) / 16)
    received = SUBSET * report / REPORT_INTERVAL + heartbeats + host_list_bytes + CHANGES * 10 * ask_bytes
    add("entry", "control bytes received a second",
        f"24 x {MODELS} agents x {report:.0f} B / 0.5 s + heartbeats {heartbeats:.0f} + "
        f"host list {host_list_bytes:.0f} + changes x 10 x {ask_bytes:.0f} B", received, MAX_CONTROL_BYTES,
        f"{(MAX_CONTROL_BYTES - heartbeats - host_list_bytes) * REPORT_INTERVAL / report:.0f} agents in the subsets",
        "`load_subscriptions`, `router_options::subset_size`; heartbeats bounded by `peer_choice`")
    add("entry", "control bytes sent a second",
        f"312 x {subscribe_bytes:.0f} B / 4 s + heartbeats {heartbeats:.0f} + changes x 10 x {reply_bytes:.0f} B",
        SUBSET * subscribe_bytes / SUBSCRIBE_INTERVAL + heartbeats + CHANGES * 10 * reply_bytes, MAX_CONTROL_BYTES,
        "", "`entry_core::subscribe`, `member_table`, `index_delta`")
    add("entry", "control messages received a second", "312 / 0.5 s + heartbeats",
        SUBSET / REPORT_INTERVAL + last("membership", "heartbeats_sent_per_s"), None, "", "`load_subscriptions`")
    base = points_of(points, "idle_by_agents", "entry_core_percent")[0][1]
    per_agent = growth("idle_by_agents", "entry_core_percent")
    change_us = (last("configuration", "change_poller_us") + last("configuration", "entry_in_force_us"))
    change_percent = CHANGES * change_us / 1e4
    add("entry", "processor for control, percent of a core",
        f"idle {base:.2f} with 8 agents + {per_agent:.4f} x 304 agents + {CHANGES:.3f} changes a second x "
        f"{change_us / 1000:.1f} ms", base + per_agent * (SUBSET - 8) + change_percent, MAX_CONTROL_CORE_PERCENT,
        f"{8 + (MAX_CONTROL_CORE_PERCENT - base - change_percent) / per_agent:.0f} agents" if per_agent > 0 else "",
        "`load_subscriptions`, tick of 10 ms in `entry_process`, `config::manifest_joiner`")
    stream_memory = line([(point["values"]["in_flight"], point["values"]["entry_resident_bytes"])
                          for point in points if point["slope"] == "load"])[1]
    configured_bytes = last("idle_by_configuration", "entry_resident_bytes")
    member_bytes = last("membership", "state_bytes")
    add("entry", "resident bytes", f"measured at 12,000 upstreams and 2,100 workspaces "
        f"{configured_bytes / 1e6:.0f} MB + members {member_bytes / 1e6:.1f} MB + "
        f"{IN_FLIGHT:.0f} streams x {stream_memory / 1e3:.0f} kB",
        configured_bytes + member_bytes + IN_FLIGHT * stream_memory, MAX_RESIDENT_BYTES, "",
        "`request_table`, `upstream_table`, `member_table`, `rollout` (32 versions)")
    add("entry", "resident bytes when idle, today's size", "measured, 2 entries and 8 agents",
        points_of(points, "idle_by_agents", "entry_resident_bytes")[0][1], 32e6, "", "`entry_process`")
    idle_us, request_us, token_us = fit_load(points, "entry_core_percent")
    add("entry", "processor for requests and tokens, percent of a core",
        f"40 x {request_us:.0f} us + 12,500 x {token_us:.1f} us", (REQUESTS * request_us + TOKENS * token_us) / 1e4,
        100.0, "", "`entry_core`, `http::server`, `transport::mailbox`")
    add("entry", "processor at ten times the peak, percent of a core",
        f"400 x {request_us:.0f} us + 125,000 x {token_us:.1f} us",
        (PEAK_REQUESTS * request_us + PEAK_TOKENS * token_us) / 1e4, 100.0,
        f"{(1e6 - idle_us - PEAK_REQUESTS * request_us) / token_us:,.0f} tokens a second with 400 requests",
        "`http::server` (a write for each token and stream)")
    add("entry", "longest pause of the event loop by a change, ms", "transfer and join + in force",
        change_us / 1e3, 64.0, "", "`config::manifest_joiner`, `upstream_table::replace` (both proportional to upstreams)")
    add("entry", "pause of the event loop at the first configuration, ms",
        "join + in force; not ready before, so it delays no request",
        (last("configuration", "first_join_us") + last("configuration", "entry_in_force_us")) / 1e3, None, "",
        "`config::join_sections`")
    add("entry", "routing decision, us", "flat: same subset", last("routing", "choose_us"), None, "", "`router`")

    sent = SUBSCRIBERS * report / REPORT_INTERVAL
    add("agent", "control bytes sent a second", f"31.2 entries x {report:.0f} B / 0.5 s + 4 heartbeats x 62 B + "
        f"changes x {ask_bytes:.0f} B", sent + 4 * 62 + CHANGES * ask_bytes, MAX_CONTROL_BYTES,
        f"{(MAX_CONTROL_BYTES - 248) * REPORT_INTERVAL / report:.0f} entries that use it", "`load_subscriptions`")
    add("agent", "control bytes received a second", f"31.2 x {subscribe_bytes:.0f} B / 4 s + 4 heartbeats + changes x "
        f"{reply_bytes:.0f} B + host list / 1,800 s",
        SUBSCRIBERS * subscribe_bytes / SUBSCRIBE_INTERVAL + 4 * 62 + CHANGES * reply_bytes +
        HOST_LIST_BYTES / AGENT_LIST_INTERVAL,
        MAX_CONTROL_BYTES, "", "`load_subscriptions`, `rollout`, host list every 30 min")
    agent_base = points_of(points, "idle_by_entries", "agent_core_percent")[0][1]
    per_entry = growth("idle_by_entries", "agent_core_percent")
    agent_change = CHANGES * (last("configuration", "change_follower_us") +
                              last("configuration", "agent_in_force_us")) / 1e4
    add("agent", "processor for control, percent of a core", f"idle {agent_base:.2f} with 2 entries + "
        f"{per_entry:.4f} x 29 + changes {agent_change:.2f}",
        agent_base + per_entry * (SUBSCRIBERS - 2) + agent_change, MAX_CONTROL_CORE_PERCENT,
        f"{2 + (MAX_CONTROL_CORE_PERCENT - agent_base - agent_change) / per_entry:.0f} entries"
        if per_entry > 0 else "",
        "`load_subscriptions`, tick of 10 ms in `agent_process`")
    add("agent", "resident bytes", "measured at 12,000 upstreams and 2,100 workspaces + members",
        last("idle_by_configuration", "agent_resident_bytes") + member_bytes, MAX_RESIDENT_BYTES, "",
        "`rollout`, `member_table`")
    add("agent", "resident bytes when idle, today's size", "measured, 2 entries and 8 agents",
        points_of(points, "idle_by_agents", "agent_resident_bytes")[0][1], 32e6, "", "`agent_process`")
    _, agent_request, agent_token = (LOAD_AGENTS * value for value in fit_load(points, "agent_core_percent"))
    add("agent", "processor for requests and tokens, percent of a core",
        f"4 x {agent_request:.0f} us + 1,250 x {agent_token:.1f} us", (4 * agent_request + 1250 * agent_token) / 1e4,
        100.0, "", "`agent_core`, `http::client`")
    add("agent", "scheduler tick with 2,100 workspaces, us", "flat: queues of active workspaces only",
        last("scheduling", "busy_tick_us"), None, "", "`fair_queue`")

    add("rank-0 agent", "expert loads received a second", f"31 x {last('planner', 'expert_load_bytes'):,.0f} B / "
        "2 s", 31 * last("planner", "expert_load_bytes") / EXPERT_LOAD_INTERVAL, MAX_CONTROL_BYTES,
        f"one report in {31 * last('planner', 'expert_load_bytes') / MAX_CONTROL_BYTES:.0f} s",
        "`expert_service` (`k_expert_load_interval`)")
    add("rank-0 agent", "longest plan, ms of its thread", "60 layers, 32 x 256 experts",
        last("planner", "longest_plan_us") / 1e3, 64.0,
        f"{64e3 / (last('planner', 'longest_plan_us') / 60):.0f} layers, on the event loop",
        "`expert_planning`")
    add("rank-0 agent", "map sent at a switch, bytes", "to each of 31 ranks", last("planner", "map_bytes"), None, "",
        "`expert_coordinator`, `group_switch`")

    writes = last("changes", "table_writes_per_change")
    add("operators", "processor of one apply, ms", "split of 12,000 upstreams",
        last("configuration", "split_us") / 1e3, None, "", "`config::split_into_sections`")
    add("operators", "seconds from the end of an apply until in force", "measured, 2 entries and 4 agents",
        last("changes", "in_force_after_apply_s"), 5.0, "", "`rollout`")
    claim_writes = last("bookings", "table_writes_each")
    add("table", "reads a second", "33 store readers x 1 + 0.19 changes x 2", STORE_READERS + 2 * CHANGES,
        MAX_TABLE_READS, "", "`rollout::select_store_readers`")
    add("table", "writes a second by changes", f"0.185 x {writes:.1f}", CHANGES * writes, MAX_TABLE_WRITES, "",
        "`operation::apply`")
    add("table", "writes a second if 1% of the requests are calls that may not be repeated",
        f"480 x {claim_writes:.1f}", 480 * claim_writes, MAX_TABLE_WRITES,
        f"{MAX_TABLE_WRITES / claim_writes:.0f} such calls a second "
        f"({MAX_TABLE_WRITES / claim_writes / 480:.2f}% of the requests)", "`idempotency::claim`")
    add("object store", "bytes a second", "33 x (index + section of 6 kB) x 0.185",
        STORE_READERS * (last("configuration", "index_bytes") + 6000) * CHANGES, None, "", "`rollout`, `index_delta`")
    add("host list", "bytes a second served", "2.64 MB x (1,200 / 825 s + 12,000 / 1,800 s)",
        HOST_LIST_BYTES * (ENTRIES / 825 + AGENTS / AGENT_LIST_INTERVAL), None, "",
        "`host_list_client`; pacing in both roles")
    hosts_us = last("membership", "members_copy_us") + last("configuration", "entry_hosts_us")
    add("bad day", "120 hosts fail, 1,500 replaced: entry's processor, percent",
        f"(120 x 2 + 1,500 x 2) / 86,400 s x {hosts_us / 1000:.1f} ms", 3240 / 86400 * hosts_us / 1e4,
        MAX_CONTROL_CORE_PERCENT, "", "`member_table::generation`, `entry_core::on_hosts`")
    add("bad day", "rack of 40 lost: heartbeat bytes an entry sends a second", "mean of 5 s",
        last("membership", "rack_lost_bytes_sent_per_s"), MAX_CONTROL_BYTES, "",
        "`event_queue` (8 events in a heartbeat)")
    add("bad day", "availability zone lost: heartbeat bytes an entry sends a second",
        "bound: 46 x (62 + 8 events x 25 B); not measured", 46 * (62 + 8 * 25), MAX_CONTROL_BYTES, "", "`k_max_events`")
    add("bad day", "regions apart for an hour: bytes to catch up",
        "667 changes are more than 32 kept versions: all sections at worst",
        last("configuration", "first_transfer_bytes"), None, "", "`rollout` (sections by digest)")
    add("bad day", "whole fleet starts: table reads a second", "33 store readers, one open read each", STORE_READERS,
        MAX_TABLE_READS, "", "`rollout` (the others ask peers)")
    add("bad day", "whole fleet starts: bytes of configuration served", "13,199 x first transfer; time not measured",
        13199 * last("configuration", "first_transfer_bytes"), None, "", "`rollout` (answers of peers)")
    add("latency", "p50 of whole responses beside direct, ratio", "worse of two turns",
        sorted(value for _, value in points_of(points, "overhead_whole", "p50_ratio"))[-1], 1.05, "",
        "`entry`, `agent`")
    add("latency", "p50 of the first token beside direct, ratio", "worse of two turns",
        sorted(value for _, value in points_of(points, "overhead_streamed", "p50_ratio"))[-1], 1.05, "",
        "`entry`, `agent`")
    return rows


def full_size_table(points):
    table = ["| role | what | formula | value | limit | limit / value | breaks at | mechanism |",
             "| --- | --- | --- | --- | --- | --- | --- | --- |"]
    rows = full_size_rows(points)
    exceeded = [row for row in rows if row[4] is not None and row[3] > row[4]]
    for role, quantity, formula, value, limit, breaks_at, mechanism in (
            exceeded + [row for row in rows if row not in exceeded]):
        margin = "" if limit is None else f"{limit / value:.2f}" + (" **breaks**" if value > limit else "")
        table.append(f"| {role} | {quantity} | {formula} | {format_value(value)} | "
                     f"{'' if limit is None else format_value(limit)} | {margin} | {breaks_at} | {mechanism} |")
    return "\n".join(table) + "\n"

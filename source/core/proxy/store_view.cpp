#include "core/proxy/store_view.h"

#include <algorithm>
#include <utility>

#include "core/telemetry/log.h"

namespace cuminpath::proxy {
namespace {

using telemetry::log_level;

// The store counts as disturbed for this long after a failed call.
constexpr milliseconds k_store_disturbed_period{4000};
// Between two calls for the changes of another gateway. Changes in quick succession share one call.
constexpr milliseconds k_min_mirror_call_interval{100};
// A starting gateway asks the seeds for the content of the store for this long before it reads the store
// itself. When all gateways start together, the seeds read the store within a fraction of this time.
constexpr milliseconds k_seed_wait{1200};

// A gateway that hears from no other one for this long is alone. Others report at least every second.
constexpr milliseconds k_alone_after{2000};
constexpr std::string_view k_store_source = "store";

std::int64_t to_log(std::uint64_t version) {
  return static_cast<std::int64_t>(version);
}

}  // namespace

store_view::store_view(const config::gateway_settings& settings, http::client& client,
                       platform_port& platform, const gateway::member_list& members,
                       gateway::member_report& local, proxy_state& state, events handlers)
    : m_settings(settings),
      m_platform(platform),
      m_members(members),
      m_local(local),
      m_state(state),
      m_events(std::move(handlers)),
      m_mirror_client(client, m_mirror) {}

void store_view::start(time_point now) {
  m_started = now;
  m_last_heard = now;
  m_platform.start(m_mirror,
                   {.mirror_changed = [this] { on_store_changed(clock::now()); },
                    .store_call_finished =
                        [this](bool answered, std::string_view reason) {
                          on_store_call_finished(answered, reason, clock::now());
                        },
                    .store_confirmed =
                        [this](time_point at) {
                          m_store_confirmed_at = at;
                          m_confirmation.confirm(k_store_source, at);
                        },
                    .store_versions_went_back =
                        [this] { m_state.metrics.add("cuminpath_store_versions_went_back_total"); },
                    .store_restored = [this] { m_state.metrics.add("cuminpath_store_restores_total"); }});
  m_platform.announce(m_local);
  if (!m_settings.seeds.empty() && !is_seed()) {
    m_reader_selection.wait_for_members(now + k_seed_wait);
  }
}

void store_view::tick(time_point now) {
  describe_mirror(now);
  update_store_reading(now);
  m_platform.tick(now, m_state.random);
  fetch_newer_changes(now);
  log_state_changes(now);
}

void store_view::on_report(std::string_view gateway, time_point now) {
  const auto* member = m_members.find(gateway);
  if (member == nullptr) {
    return;
  }
  const auto& newest = member->report.newest_changes;
  if (newest && m_mirror.learn_newest_changes(*newest)) {
    describe_mirror(now);
  }
  const auto relation = gateway::compare_mirrors(member->report, m_local);
  if (relation == gateway::mirror_relation::newer) {
    fetch_newer_changes(now);
  } else if (relation == gateway::mirror_relation::equal && member->report.reads_store) {
    m_confirmation.confirm(gateway, now - member->report.view_age);
  }
}

bool store_view::describe_mirror(time_point now) {
  m_local.mirror_version = m_mirror.content_version();
  auto newest = m_mirror.newest_changes();
  const bool changed = m_local.newest_changes != newest;
  m_local.newest_changes = std::move(newest);
  m_local.view_age = std::chrono::duration_cast<milliseconds>(now - m_store_confirmed_at);
  return changed;
}

void store_view::on_suspended(time_point now) {
  m_reader_selection.distrust_members(now);
  m_platform.restart_store_reading(now);
}

void store_view::on_store_call_finished(bool answered, std::string_view reason, time_point now) {
  if (!answered) {
    m_last_store_failure = now;
  }
  m_last_call_answered = answered;
  if (answered != m_store_answers) {
    m_store_answers = answered;
    telemetry::log(log_level::warning, "store", answered ? "store answers again" : "store does not answer",
                   {{"reason", reason}, {"mirror_version", to_log(m_mirror.content_version())}});
    m_state.metrics.add("cuminpath_store_contact_changes_total", {{"to", answered ? "answers" : "silent"}});
  }
}

bool store_view::store_disturbed(time_point now) const {
  return m_reads_store && (!m_store_answers || now - m_last_store_failure < k_store_disturbed_period);
}

void store_view::on_store_changed(time_point now) {
  m_source = k_store_source;
  const bool news = describe_mirror(now);
  m_events.changed(store_disturbed(now), now);
  if (news) {
    m_events.report_due(now);  // Gateways that do not read the store wait for this report.
  }
}

bool store_view::is_seed() const {
  const auto& seeds = m_settings.seeds;
  return std::find(seeds.begin(), seeds.end(), m_local.mirror_address) != seeds.end();
}

bool store_view::expects_others() const {
  return !m_members.all().empty() ||
         std::any_of(m_settings.seeds.begin(), m_settings.seeds.end(),
                     [this](const std::string& seed) { return seed != m_local.mirror_address; });
}

void store_view::update_store_reading(time_point now) {
  const bool reads = m_reader_selection.update(m_local, m_members, now);
  if (reads != m_reads_store) {
    m_reads_store = reads;
    m_last_call_answered = false;
    m_store_answers = true;
    m_platform.set_store_reading(reads);
    telemetry::log(log_level::info, "store", reads ? "reads the store" : "takes changes from other gateways",
                   {{"readers", static_cast<std::int64_t>(m_members.count_store_readers(m_local, now))},
                    {"mirror_version", to_log(m_mirror.content_version())}});
  }
  m_local.reads_store = reads && m_last_call_answered;
  m_local.store_disturbed = store_disturbed(now);
}

void store_view::fetch_newer_changes(time_point now) {
  const auto* newer = m_members.find_newer_mirror(m_local, now, m_state.random);
  m_reader_selection.on_versions_compared(newer != nullptr, now);
  if (m_mirror_client.fetching() || now - m_last_mirror_call < k_min_mirror_call_interval) {
    return;
  }
  if (newer != nullptr && (m_reader_selection.lags(now) || !m_reader_selection.reads_store())) {
    fetch_changes(newer->report.mirror_address, now, &newer->report);
    return;
  }
  const auto contact = gateway::seed_schedule::find_contact(m_local, m_members, m_settings.seeds, now);
  if (m_seed_schedule.take_due(contact, now, m_state.random)) {
    ask_seed(now);
  }
}

void store_view::ask_seed(time_point now) {
  std::vector<std::string> others = m_settings.seeds;
  std::erase(others, m_local.mirror_address);
  if (!others.empty()) {
    fetch_changes(others[random_index(m_state.random, others.size())], now);
  }
}

void store_view::fetch_changes(const std::string& address, time_point now,
                               const gateway::member_report* source) {
  if (address.empty() || address == m_local.mirror_address || address == m_settings.mirror_address) {
    return;
  }
  m_last_mirror_call = now;
  struct confirmation {
    std::string source;
    time_point at;
  };
  std::optional<confirmation> confirms;
  if (source != nullptr && source->reads_store) {
    confirms = confirmation{source->name, now - source->view_age};
  }
  const bool disturbed = source != nullptr && source->store_disturbed;
  m_mirror_client.fetch(address, [this, address, disturbed, confirms](const result<bool>& merged) {
    describe_mirror(clock::now());
    if (!merged) {
      m_state.metrics.add("cuminpath_failed_mirror_calls_total");
      telemetry::log(merged.error().code == error_code::invalid_input ? log_level::warning : log_level::debug,
                     "store", "changes of another gateway not taken",
                     {{"address", address}, {"reason", merged.error().message}});
    } else if (merged.value()) {
      m_reader_selection.on_changes_applied(clock::now());
      if (confirms) {
        m_confirmation.confirm(confirms->source, confirms->at);
      }
      m_source = address;
      telemetry::log(log_level::info, "store", "changes of another gateway taken",
                     {{"address", address}, {"mirror_version", to_log(m_mirror.content_version())}});
      m_events.changed(disturbed, clock::now());
    }
  });
}

void store_view::log_state_changes(time_point now) {
  if (const auto change = m_confirmation.take_change(now)) {
    telemetry::log(log_level::warning, "store", change->stale ? "view is stale" : "view is confirmed again",
                   {{"age_ms", change->age.count()},
                    {"confirmed_by", m_confirmation.source()},
                    {"last_change_from", m_source},
                    {"reads_store", m_reads_store},
                    {"store_answers", m_store_answers},
                    {"mirror_version", to_log(m_mirror.content_version())}});
    m_state.metrics.add("cuminpath_view_changes_total", {{"to", change->stale ? "stale" : "confirmed"}});
  }
  if (m_members.count_alive(now) > 0) {
    m_last_heard = now;
  }
  const bool alone = expects_others() && now - m_last_heard >= k_alone_after;
  if (std::exchange(m_alone, alone) != alone) {
    telemetry::log(log_level::warning, "members",
                   alone ? "hears from no other gateway" : "hears from other gateways again",
                   {{"known", static_cast<std::int64_t>(m_members.all().size())},
                    {"seeds", static_cast<std::int64_t>(m_settings.seeds.size())},
                    {"since_start_ms", std::chrono::duration_cast<milliseconds>(now - m_started).count()},
                    {"store_answers", m_store_answers}});
  }
}

void store_view::set_metrics(time_point now) {
  m_state.metrics.set("cuminpath_reads_store", m_reads_store ? 1 : 0);
  m_state.metrics.set("cuminpath_store_era", static_cast<double>(m_mirror.era()));
  m_state.metrics.set("cuminpath_mirror_version", static_cast<double>(m_mirror.content_version()));
  m_state.metrics.set("cuminpath_view_age_seconds",
                      std::chrono::duration<double>(m_confirmation.age(now)).count());
  m_state.metrics.set("cuminpath_members_alive", static_cast<double>(m_members.count_alive(now)));
  for (const auto& [table, version] : m_mirror.known_versions()) {
    m_state.metrics.set("cuminpath_table_version", static_cast<double>(version.number), {{"table", table}});
  }
}

}  // namespace cuminpath::proxy

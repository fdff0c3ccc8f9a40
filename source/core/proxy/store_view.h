// The gateway's view of what the store holds: decides whether to read it from the store or from other
// gateways, and keeps the mirror up to date.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "core/common/time.h"
#include "core/config/gateway_settings.h"
#include "core/gateway/member_list.h"
#include "core/gateway/mirror.h"
#include "core/gateway/mirror_client.h"
#include "core/gateway/seed_schedule.h"
#include "core/gateway/store_reader_selection.h"
#include "core/gateway/view_confirmation.h"
#include "core/http/client.h"
#include "core/proxy/platform_port.h"
#include "core/proxy/proxy_state.h"

namespace cuminpath::proxy {

class store_view {
public:
  struct events {
    // Called after the mirror has changed. `disturbed`: the store was unavailable shortly before to whoever
    // read the change from it.
    std::function<void(bool disturbed, time_point now)> changed;
    // Called when other gateways wait for a report of the local one.
    std::function<void(time_point now)> report_due;
  };

  // All arguments must outlive this object; `local` is the report of the local gateway.
  store_view(const config::gateway_settings& settings, http::client& client, platform_port& platform,
             const gateway::member_list& members, gateway::member_report& local, proxy_state& state,
             events handlers);

  void start(time_point now);
  // Issues the calls that are due. Called several times a second.
  void tick(time_point now);
  // A report of the gateway of that name has arrived and is in the member list.
  void on_report(std::string_view gateway, time_point now);
  // The process stood still, so that neither the view nor what it knows of other gateways is recent.
  void on_suspended(time_point now);

  [[nodiscard]] const gateway::mirror& mirror() const { return m_mirror; }
  [[nodiscard]] bool reads_store() const { return m_reads_store; }
  [[nodiscard]] bool store_answers() const { return m_store_answers; }
  // Returns where the last change came from: the store, or the address of another gateway.
  [[nodiscard]] const std::string& source() const { return m_source; }
  void set_metrics(time_point now);

private:
  void on_store_call_finished(bool answered, std::string_view reason, time_point now);
  void on_store_changed(time_point now);
  // Writes what the mirror contains, and how current it is, into the local report. Returns true if the
  // content has changed.
  bool describe_mirror(time_point now);
  // Returns true if a call of the local gateway to the store failed recently.
  [[nodiscard]] bool store_disturbed(time_point now) const;
  // Returns true if other gateways ask the local one first when they start.
  [[nodiscard]] bool is_seed() const;
  // Returns true if there are other gateways as far as this one knows.
  [[nodiscard]] bool expects_others() const;
  // Starts or stops reading the store, depending on which other gateways read it.
  void update_store_reading(time_point now);
  // Fetches changes from a gateway that has newer ones, if the local gateway does not read the store or lags.
  void fetch_newer_changes(time_point now);
  // Fetches changes from a seed, if there is one besides the local gateway.
  void ask_seed(time_point now);
  // `source`: the last report of the gateway; null for a seed. If it reads the store, its changes confirm the
  // view.
  void fetch_changes(const std::string& address, time_point now,
                     const gateway::member_report* source = nullptr);
  // Logs when the view becomes stale or current, and when the gateway hears from no other one or from some
  // again.
  void log_state_changes(time_point now);

  const config::gateway_settings& m_settings;
  platform_port& m_platform;
  const gateway::member_list& m_members;
  gateway::member_report& m_local;
  proxy_state& m_state;
  events m_events;
  gateway::mirror m_mirror;
  gateway::mirror_client m_mirror_client;
  gateway::store_reader_selection m_reader_selection;
  gateway::seed_schedule m_seed_schedule;
  bool m_store_answers = true;
  bool m_reads_store = true;          // As last set with platform_port::set_store_reading().
  bool m_last_call_answered = false;  // Since the gateway began to read the store.
  time_point m_last_store_failure{};
  time_point m_store_confirmed_at{};  // As of when the store confirmed the mirror last.
  time_point m_last_mirror_call{};
  std::string m_source;
  gateway::view_confirmation m_confirmation{clock::now()};
  time_point m_started{};
  time_point m_last_heard{};  // When another gateway was alive.
  bool m_alone = false;       // As last logged.
};

}  // namespace cuminpath::proxy

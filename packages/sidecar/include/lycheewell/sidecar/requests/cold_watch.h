// Notices when the target beside this daemon is cold and limits its requests.
#ifndef LYCHEEWELL_SIDECAR_REQUESTS_COLD_WATCH_H_
#define LYCHEEWELL_SIDECAR_REQUESTS_COLD_WATCH_H_

#include <mesh.pb.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "lycheewell/core/manifest/manifest.h"
#include "lycheewell/core/overload/cold_start.h"
#include "lycheewell/core/overload/sender_share.h"
#include "lycheewell/sidecar/clock.h"
#include "lycheewell/sidecar/decision_log.h"
#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/http/client_connection.h"
#include "lycheewell/sidecar/settings.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar::requests {

// Part of the gate: keeps core::overload::ColdStart informed, and sends a
// health check when only the target itself can tell. A silent target gets
// nothing else. Does nothing for a service without a cold rate.
class ColdWatch {
 public:
  struct Options {
    const Settings& settings;
    const DialectHooks& dialect;
    std::function<std::shared_ptr<http::ClientConnection>()> take_connection;
    std::function<void(std::shared_ptr<http::ClientConnection>)>
        return_connection;
    std::function<std::string()> instance;  // of the target
    std::function<bool()> takes_work;
    std::function<core::Duration()> mean_work;
    std::function<std::size_t()> daemon_count;
    // Called when the target has become cold, silent or warm.
    std::function<void(core::overload::Warmth)> on_change;
  };

  ColdWatch(TimerQueue& timers, DecisionLog& log, Options options);

  // Commands.

  // What the manifest says of the target's service; null: nothing.
  void Configure(const core::manifest::Service* service);

  // `has_come_back`: the same start has been out of sight.
  void OnAnnouncement(core::Duration cold_for, bool is_new_start,
                      bool has_come_back);

  // The target may have become cold.
  void Assume(std::string_view reason);

  // Admission and course of one request; see core::overload::ColdStart.
  bool Admit(int rank);
  void Return() { this->cold.Return(); }
  void OnWritten(bool was_admitted);
  void OnDone(core::Instant written_at) { this->cold.OnDone(written_at); }

  // The target has answered a request.
  void OnAnswer();

  // Queries.

  // Adds the rate in force to `load`.
  void DescribeLoad(mesh::Load& load) const;
  core::Duration cold_for() const { return this->cold.cold_for(Now()); }
  std::uint64_t refused() const { return this->cold.refused(); }

 private:
  bool has_rate() const {
    return this->cold.service() && this->cold.service()->rate_per_second > 0;
  }
  void Tick(core::Instant due);
  // There is a sign of life.
  void OnHeard();
  void LookForSilence(bool is_late);
  core::Duration SilenceLimit() const;
  void EndSilence();
  // The target is out of sight and can be asked.
  bool is_closed() const {
    return this->is_silent && this->has_rate() && !this->health_path.empty() &&
           this->cold.is_assumed(Now());
  }
  bool IsCheckDue(core::Instant now) const;
  // Sends a health check if one is due.
  void Check();
  void OnHealth(core::Instant checked_at, http::ExchangeOutcome outcome);
  // Tells of a change of the target's warmth, or that it is closed or open.
  void Update(std::string_view reason);

  TimerQueue& timers;
  DecisionLog& log;
  Options options;
  core::overload::ColdStart cold;
  core::overload::SenderShare share;
  std::string health_path;
  core::overload::Warmth warmth = core::overload::Warmth::kWarm;
  core::Instant cold_since;
  std::uint64_t refused_before = 0;  // until `cold_since`
  // Since when requests wait without a sign of life; nothing if none waits.
  std::optional<core::Instant> waiting_since;
  bool is_silent = false;
  // Health checks that ended a silence since the last answer to a request.
  int false_silences = 0;
  bool reported_closed = false;
  bool is_ticking = false;
  core::Instant last_check;
  bool has_new_sign = false;                      // since `last_check`
  std::shared_ptr<http::ClientConnection> check;  // under way
  core::Instant check_written_at;
  TimerQueue::Id check_timer = 0;
};

}  // namespace lycheewell::sidecar::requests

#endif  // LYCHEEWELL_SIDECAR_REQUESTS_COLD_WATCH_H_

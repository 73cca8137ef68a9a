// What every part of a daemon uses.
#ifndef LYCHEEWELL_DAEMON_SERVICES_H_
#define LYCHEEWELL_DAEMON_SERVICES_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "lycheewell/core/types.h"
#include "lycheewell/daemon/events/event_log.h"
#include "lycheewell/daemon/metrics/metrics.h"
#include "lycheewell/daemon/settings/settings.h"
#include "lycheewell/daemon/tables/tables.h"
#include "lycheewell/io/http/client.h"
#include "lycheewell/io/log/log_service.h"
#include "lycheewell/peers/transport.h"

namespace lycheewell::daemon {

struct Services {
  const settings::Settings& settings;
  boost::asio::io_context& context;
  core::DaemonRef self;
  core::RandomSource random;
  events::EventLog& events;
  metrics::Metrics& metrics;
  tables::Tables& tables;
  io::log::LogService log;
  std::shared_ptr<io::http::Client> http_client;
  // Set once all message handlers exist.
  peers::Transport* transport = nullptr;
};

inline core::Instant Now() { return std::chrono::steady_clock::now(); }

// Milliseconds since the Unix epoch.
inline std::int64_t WallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace lycheewell::daemon

#endif  // LYCHEEWELL_DAEMON_SERVICES_H_

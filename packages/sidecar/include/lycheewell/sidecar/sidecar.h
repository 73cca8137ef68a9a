// Entry point of a daemon that runs as a sidecar.
#ifndef LYCHEEWELL_SIDECAR_SIDECAR_H_
#define LYCHEEWELL_SIDECAR_SIDECAR_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "lycheewell/sidecar/hooks.h"
#include "lycheewell/sidecar/settings.h"
#include "lycheewell/sidecar/timer_queue.h"

namespace lycheewell::sidecar {

struct SidecarOptions {
  Settings settings;
  std::string settings_path;  // reloaded on SIGHUP; may be empty
  DialectHooks dialect;
  // Creates the store client, which runs on the sidecar's event loop.
  std::function<StoreHooks(boost::asio::io_context&, TimerQueue&,
                           const Settings&)>
      make_store;
};

// Serves until SIGTERM or SIGINT, then drains and exits the process. Throws
// when an address cannot be bound.
void RunSidecar(SidecarOptions options);

}  // namespace lycheewell::sidecar

#endif  // LYCHEEWELL_SIDECAR_SIDECAR_H_

// One daemon: builds its parts, runs them and stops them.
#ifndef LYCHEEWELL_DAEMON_DAEMON_H_
#define LYCHEEWELL_DAEMON_DAEMON_H_

#include <memory>

#include "lycheewell/daemon/settings/settings.h"

namespace lycheewell::daemon {

class Daemon {
 public:
  // Binds all ports; throws std::exception when one cannot be bound.
  explicit Daemon(settings::Settings settings);
  ~Daemon();

  // Commands.

  // Runs until a drain is over or Stop is called.
  void Run();

  // Refuses new work, finishes what runs, leaves the members, then ends Run.
  void BeginDrain();

  // Ends Run at once.
  void Stop();

 private:
  class Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace lycheewell::daemon

#endif  // LYCHEEWELL_DAEMON_DAEMON_H_

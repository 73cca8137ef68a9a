// Decides which daemons of a data centre read the manifest from the store.
#ifndef LYCHEEWELL_CORE_MANIFEST_READER_STANDBY_H_
#define LYCHEEWELL_CORE_MANIFEST_READER_STANDBY_H_

#include <cstddef>
#include <optional>

#include "lycheewell/core/types.h"

namespace lycheewell::core::manifest {

// The first daemon of a data centre long-polls the store and tells the others
// after each poll that the manifest is the newest one. The others stand by. One
// that has had no such proof for too long reads the store itself, whatever the
// reason: the reader may be cut from the store, silent, paused or gone. It goes
// on reading for the others until it hears from a daemon that ranks before it.
class ReaderStandby {
 public:
  struct Options {
    // Within this time a new version must be in force at all daemons that reach
    // the store.
    Duration adoption_bound = std::chrono::seconds(2);

    bool operator==(const Options&) const = default;
  };

  explicit ReaderStandby(const Options& options);

  // Commands.

  // A read of the store begins because it is due.
  void BeginRead() { this->has_heard_of_better = false; }

  // That read has ended.
  void EndRead(bool has_succeeded);

  // A daemon that ranks before this one has read the store.
  void RecordReadOfBetter();

  // Queries.

  // Duration of one long poll. A reader's proof is at most two of them old.
  Duration poll_timeout() const;

  // Delay before the daemon of `rank` repeats a read that has failed. A read
  // may fail only at its time limit, in the last moments of an outage, so the
  // delay does not grow with the number of failures.
  Duration RetryDelay(std::size_t rank) const;

  // How long the daemon of `rank` may stand by from now on; zero if it has to
  // read the store. Rank 0 is the first of the data centre. `proof_age` is the
  // time since the manifest was last proven to be the newest.
  Duration StandbyTime(std::size_t rank,
                       std::optional<Duration> proof_age) const;

  // Whether the daemon of `rank` reads on behalf of the others.
  bool ReadsForOthers(std::size_t rank) const {
    return rank == 0 || this->acting;
  }

 private:
  // Age of its proof at which the daemon of `rank` reads the store.
  Duration TakeoverAge(std::size_t rank) const;

  Options options;
  bool acting = false;
  bool has_heard_of_better = false;  // since the latest read began
};

}  // namespace lycheewell::core::manifest

#endif  // LYCHEEWELL_CORE_MANIFEST_READER_STANDBY_H_

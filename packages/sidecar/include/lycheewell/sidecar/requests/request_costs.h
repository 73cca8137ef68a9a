// What the requests that this daemon sends are expected to cost, learned from
// the answers of their targets' daemons.
#ifndef LYCHEEWELL_SIDECAR_REQUESTS_REQUEST_COSTS_H_
#define LYCHEEWELL_SIDECAR_REQUESTS_REQUEST_COSTS_H_

#include <optional>
#include <string>

#include "lycheewell/core/routing/target_selector.h"
#include "lycheewell/core/routing/work_model.h"
#include "lycheewell/sidecar/counters.h"
#include "lycheewell/sidecar/decision_log.h"

namespace lycheewell::sidecar::requests {

class RequestCosts {
 public:
  struct Options {
    // While false, nothing is learned or expected.
    bool is_enabled = false;
    core::routing::TargetSelector& targets;
    DecisionLog& log;
    Counters& counters;
  };

  explicit RequestCosts(const Options& new_options) : options(new_options) {}

  // Commands.

  // A request ran at the target of `member` for `work`; zero: not known.
  void RecordRun(const core::routing::WorkFeatures& features,
                 const core::routing::WorkEstimate& expected,
                 const std::string& member, core::Duration work);

  void LogChoice(const std::string& request_id, const std::string& route,
                 const core::routing::WorkEstimate& expected,
                 const core::routing::Choice& choice);

  // Queries.

  core::routing::WorkEstimate Expect(
      const core::routing::WorkFeatures& features) const;

  // What the choice of a target goes by; nothing while not enabled.
  std::optional<core::routing::RequestDemand> DemandOf(
      const core::routing::WorkEstimate& expected,
      core::Duration latency_target) const;

 private:
  Options options;
  core::routing::WorkModel model;
};

}  // namespace lycheewell::sidecar::requests

#endif  // LYCHEEWELL_SIDECAR_REQUESTS_REQUEST_COSTS_H_

#include "lycheewell/sidecar/requests/request_costs.h"

namespace lycheewell::sidecar::requests {
using core::routing::WorkEstimate;
using core::routing::WorkFeatures;
using daemon::events::Event;

namespace {

std::int64_t Milliseconds(core::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace

void RequestCosts::RecordRun(const WorkFeatures& features,
                             const WorkEstimate& expected,
                             const std::string& member, core::Duration work) {
  if (!this->options.is_enabled || work <= core::Duration::zero()) {
    return;
  }
  this->options.targets.RecordRun(member);
  const double slowness = this->options.targets.RelativeSlownessOf(member);
  this->model.Record(
      features, std::chrono::duration_cast<core::Duration>(work / slowness));
  if (expected.mean == core::Duration::zero()) {
    return;
  }
  const auto expected_here =
      std::chrono::duration_cast<core::Duration>(expected.mean * slowness);
  const auto count = [&](std::string_view name, core::Duration amount) {
    this->options.counters.Count(
        name, features.route, static_cast<std::uint64_t>(Milliseconds(amount)));
  };
  count("work_expected_milliseconds", expected_here);
  count("work_measured_milliseconds", work);
  count("work_error_milliseconds",
        work > expected_here ? work - expected_here : expected_here - work);
}

void RequestCosts::LogChoice(const std::string& request_id,
                             const std::string& route,
                             const WorkEstimate& expected,
                             const core::routing::Choice& choice) {
  if (!this->options.is_enabled ||
      !this->options.log.WouldWrite(Event::kTargetChosen)) {
    return;
  }
  this->options.log.Write(
      Event::kTargetChosen,
      {{"request", request_id},
       {"route", route},
       {"member", choice.member},
       {"work_ms", std::to_string(Milliseconds(expected.mean))},
       {"spread_ms", std::to_string(Milliseconds(expected.spread))},
       {"wait_ms", std::to_string(Milliseconds(choice.expected_wait))},
       {"slowness", std::to_string(this->options.targets.RelativeSlownessOf(
                        choice.member))},
       {"candidates", std::to_string(choice.candidates)}});
}

WorkEstimate RequestCosts::Expect(const WorkFeatures& features) const {
  return this->options.is_enabled ? this->model.Expect(features)
                                  : WorkEstimate();
}

std::optional<core::routing::RequestDemand> RequestCosts::DemandOf(
    const WorkEstimate& expected, core::Duration latency_target) const {
  if (!this->options.is_enabled) {
    return std::nullopt;
  }
  return core::routing::RequestDemand{.work = expected.mean,
                                      .latency_target = latency_target};
}

}  // namespace lycheewell::sidecar::requests

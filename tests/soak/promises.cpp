#include "soak/promises.h"

#include <algorithm>
#include <utility>

namespace lycheewell::soak {
namespace {

bool SaysNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// The largest number of `times` in any span of the window's length.
std::size_t LargestCount(std::vector<Clock::time_point>& times,
                         Clock::duration window) {
  std::sort(times.begin(), times.end());
  std::size_t first = 0;
  std::size_t largest = 0;
  for (std::size_t last = 0; last < times.size(); ++last) {
    while (times[last] - times[first] >= window) {
      ++first;
    }
    largest = std::max(largest, last - first + 1);
  }
  return largest;
}

}  // namespace

void Observations::AddRequest(Request request) {
  const std::lock_guard lock(this->mutex);
  this->requests.push_back(std::move(request));
}

void Observations::AddRun(Run run) {
  const std::lock_guard lock(this->mutex);
  this->runs[run.id].push_back(std::move(run));
}

void Observations::AddWithdrawnKey(const std::string& key,
                                   Clock::time_point at) {
  const std::lock_guard lock(this->mutex);
  this->withdrawn_keys.emplace(key, at);
}

void Observations::AddLeaving(const std::string& instance,
                              Clock::time_point at) {
  const std::lock_guard lock(this->mutex);
  this->leaving.emplace(instance, at);
}

void Observations::AddLimit(const Limit& limit) {
  const std::lock_guard lock(this->mutex);
  this->limits.push_back(limit);
}

void Observations::AddEvacuation(const Evacuation& evacuation) {
  const std::lock_guard lock(this->mutex);
  this->evacuations.push_back(evacuation);
}

void Observations::AddColdTime(const ColdTime& cold) {
  const std::lock_guard lock(this->mutex);
  this->cold_times.push_back(cold);
}

void Observations::AddPlannedStop(int vm, const Span& span) {
  const std::lock_guard lock(this->mutex);
  this->planned_stops.emplace_back(vm, span);
}

std::size_t Observations::request_count() const {
  const std::lock_guard lock(this->mutex);
  return this->requests.size();
}

std::size_t Observations::RunsOf(const std::string& id) const {
  const auto found = this->runs.find(id);
  return found == this->runs.end() ? 0 : found->second.size();
}

std::vector<std::string> Observations::BrokenPromises(
    const Bounds& bounds) const {
  const std::lock_guard lock(this->mutex);
  std::vector<std::string> broken;
  this->CheckAnswers(broken);
  this->CheckKeys(bounds, broken);
  this->CheckDrains(bounds, broken);
  this->CheckRates(bounds, broken);
  this->CheckLimits(bounds, broken);
  this->CheckEvacuations(broken);
  this->CheckColdTimes(bounds, broken);
  this->CheckPlannedStops(broken);
  return broken;
}

void Observations::CheckAnswers(std::vector<std::string>& broken) const {
  for (const Request& request : this->requests) {
    const std::size_t count = this->RunsOf(request.id);
    if (request.status == 200 && request.answered_id != request.id) {
      broken.push_back(request.id + " got the answer of " +
                       request.answered_id);
    }
    if (request.status == 200 && count == 0) {
      broken.push_back(request.id + " was answered but never ran");
    }
    if (!request.is_idempotent && count > 1) {
      broken.push_back(request.id + " ran " + std::to_string(count) + " times");
    }
    if (SaysNotRun(request.status) && count > 0) {
      broken.push_back(request.id + " ran and was answered " +
                       std::to_string(request.status));
    }
  }
}

void Observations::CheckKeys(const Bounds& bounds,
                             std::vector<std::string>& broken) const {
  for (const Request& request : this->requests) {
    const auto withdrawn = this->withdrawn_keys.find(request.key);
    if (withdrawn != this->withdrawn_keys.end() &&
        request.sent_at > withdrawn->second + bounds.key_withdrawal &&
        this->RunsOf(request.id) > 0) {
      broken.push_back(request.id + " ran with the withdrawn key " +
                       request.key);
    }
  }
}

void Observations::CheckDrains(const Bounds& bounds,
                               std::vector<std::string>& broken) const {
  for (const auto& [id, runs_of_request] : this->runs) {
    for (const Run& run : runs_of_request) {
      const auto left = this->leaving.find(run.instance);
      if (left != this->leaving.end() && run.at > left->second + bounds.drain) {
        broken.push_back(id + " reached " + run.instance +
                         " after it had left");
      }
    }
  }
}

void Observations::CheckRates(const Bounds& bounds,
                              std::vector<std::string>& broken) const {
  const double seconds =
      std::chrono::duration<double>(bounds.account_window).count();
  const double most = (bounds.account_rate * seconds + bounds.account_burst) *
                          (1 + bounds.account_overage) +
                      bounds.account_slack;
  std::map<std::string, std::vector<Clock::time_point>> by_account;
  for (const Request& request : this->requests) {
    const auto found = this->runs.find(request.id);
    if (found != this->runs.end()) {
      by_account[request.account].push_back(found->second.front().at);
    }
  }
  for (auto& [account, times] : by_account) {
    const std::size_t largest = LargestCount(times, bounds.account_window);
    if (static_cast<double>(largest) > most) {
      broken.push_back(account + " ran " + std::to_string(largest) +
                       " requests in a window, " +
                       std::to_string(static_cast<int>(most)) + " are allowed");
    }
  }
}

void Observations::CheckLimits(const Bounds& bounds,
                               std::vector<std::string>& broken) const {
  std::map<std::string, int> vms;  // by request id
  for (const Request& request : this->requests) {
    vms[request.id] = request.vm;
  }
  for (const Limit& limit : this->limits) {
    std::vector<Clock::time_point> times;
    for (const auto& [id, runs_of_request] : this->runs) {
      const auto vm = vms.find(id);
      // The daemon beside the target may have restarted, which excuses it.
      if (vm == vms.end() || vm->second == limit.vm) {
        continue;
      }
      for (const Run& run : runs_of_request) {
        if (run.instance == limit.instance &&
            run.at > limit.span.begin + bounds.limit_delay &&
            run.at < limit.span.end) {
          times.push_back(run.at);
        }
      }
    }
    const double most =
        limit.per_second * bounds.limit_factor *
            std::chrono::duration<double>(bounds.limit_window).count() +
        bounds.limit_slack;
    const std::size_t largest = LargestCount(times, bounds.limit_window);
    if (static_cast<double>(largest) > most) {
      broken.push_back(limit.instance + " got " + std::to_string(largest) +
                       " requests in a window, " +
                       std::to_string(static_cast<int>(most)) + " are allowed");
    }
  }
}

void Observations::CheckEvacuations(std::vector<std::string>& broken) const {
  for (const Evacuation& evacuation : this->evacuations) {
    for (const auto& [id, runs_of_request] : this->runs) {
      for (const Run& run : runs_of_request) {
        const bool is_there =
            std::any_of(evacuation.instances.begin(),
                        evacuation.instances.end(), [&](const auto& prefix) {
                          return run.instance.starts_with(prefix);
                        });
        if (is_there && run.at > evacuation.span.begin &&
            run.at < evacuation.span.end) {
          broken.push_back(id + " reached " + run.instance +
                           " in an evacuated data centre");
        }
      }
    }
  }
}

void Observations::CheckColdTimes(const Bounds& bounds,
                                  std::vector<std::string>& broken) const {
  constexpr std::chrono::seconds kWindow{1};
  for (const ColdTime& cold : this->cold_times) {
    std::vector<Clock::time_point> times;
    for (const auto& [id, runs_of_request] : this->runs) {
      for (const Run& run : runs_of_request) {
        if (run.instance == cold.instance &&
            run.at > cold.span.begin + kWindow && run.at < cold.span.end) {
          times.push_back(run.at);
        }
      }
    }
    const double most =
        cold.per_second * bounds.cold_factor + bounds.cold_slack;
    const std::size_t largest = LargestCount(times, kWindow);
    if (static_cast<double>(largest) > most) {
      broken.push_back(cold.instance + " got " + std::to_string(largest) +
                       " requests in a second while it was cold, " +
                       std::to_string(static_cast<int>(most)) + " are allowed");
    }
  }
}

void Observations::CheckPlannedStops(std::vector<std::string>& broken) const {
  for (const Request& request : this->requests) {
    const bool is_lost = request.status == 0 && this->RunsOf(request.id) > 0;
    const bool is_in_stop =
        std::any_of(this->planned_stops.begin(), this->planned_stops.end(),
                    [&](const auto& stop) {
                      return stop.first == request.vm &&
                             request.sent_at >= stop.second.begin &&
                             request.ended_at <= stop.second.end;
                    });
    if (is_lost && is_in_stop) {
      broken.push_back(request.id +
                       " ran and got no answer in a planned stop of vm-" +
                       std::to_string(request.vm));
    }
  }
}

double Observations::ServedFraction(const Span& span,
                                    const Bounds& bounds) const {
  const std::lock_guard lock(this->mutex);
  std::vector<const Request*> sent;
  std::map<std::string, double> sent_by_account;
  for (const Request& request : this->requests) {
    if (request.sent_at >= span.begin && request.sent_at < span.end &&
        !this->withdrawn_keys.contains(request.key)) {
      sent.push_back(&request);
      sent_by_account[request.account] += 1;
    }
  }
  const double seconds =
      std::chrono::duration<double>(span.end - span.begin).count();
  std::size_t owed = 0;
  std::size_t served = 0;
  for (const Request* request : sent) {
    constexpr unsigned kOverRate = 429;
    if (request->status == kOverRate &&
        sent_by_account[request->account] > bounds.account_rate * seconds) {
      continue;
    }
    ++owed;
    served += request->status == 200 ? 1 : 0;
  }
  return owed == 0 ? 0.0
                   : static_cast<double>(served) / static_cast<double>(owed);
}

}  // namespace lycheewell::soak

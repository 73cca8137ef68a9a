// A safe request that crashes each backend that begins to run it comes again
// and again at two machines whose own processes run without trouble.
//
// BUDGET: more than three of these client attempts, sent later than
// `stableWindow` after the third crash, reach backends.
#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/stage.h"

namespace {

using review::Call;
using review::Deployment;
using review::HasTrouble;
using review::Note;
using review::Now;
using review::Run;
using review::Sent;

constexpr double kStableWindow = 3;
constexpr int kMostRetries = 3;
constexpr double kBackendDown = 3;  // "back after some seconds"
constexpr double kPause = 2.5;      // between two sends of the request
constexpr int kSends = 14;
constexpr int kDeadlineMs = 2'500;

const std::string kPoison = "/orders/7f3a";
const std::string kManifest = R"({"version":"r1",
"routes":{"columns":["name","host","pathPrefix","kind","timeout",
"targetLatency","priority","weightedClusters","attempts","public","service"],
"rows":[
["r-view","shop.example","/orders/","safe","2500ms","1000ms",1,null,2,false,"orders"],
["r-pay","shop.example","/pay/","unsafe","2500ms","1000ms",0,null,2,false,"orders"]]},
"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],
"rows":[["orders","/health",1000,"h1",false],["front","/health",1000,"h1",false]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],
"rows":[["shop",["key-shop"],1,0,0]]}})";

Call MakeCall(const std::string& method, const std::string& path,
              const std::string& work_ms) {
  Call call;
  call.method = method;
  call.path = path;
  call.headers["Host"] = "shop.example";
  call.headers["Work-Ms"] = work_ms;
  call.headers["X-Caller"] = "shop-client-4";
  return call;
}

// Other clients' requests, which may run once at most.
class Background {
 public:
  explicit Background(const Deployment& deployment) {
    this->thread = std::thread([this, &deployment] {
      for (int i = 0; !this->has_stopped; ++i) {
        std::thread([this, &deployment, i] {
          const Sent sent =
              SendRequest(deployment, static_cast<std::size_t>(i % 2),
                          MakeCall("POST", "/pay/" + std::to_string(i), "400"),
                          "key-shop", kDeadlineMs);
          const std::lock_guard lock(this->mutex);
          this->sent.push_back(sent);
        }).detach();
        review::SleepFor(0.05);
      }
    });
  }

  std::vector<Sent> Stop() {
    this->has_stopped = true;
    this->thread.join();
    review::SleepFor(kDeadlineMs / 1000.0 + 0.5);
    const std::lock_guard lock(this->mutex);
    return this->sent;
  }

 private:
  std::atomic<bool> has_stopped = false;
  std::mutex mutex;
  std::vector<Sent> sent;
  std::thread thread;
};

}  // namespace

int main() {
  Deployment deployment({{"zone-a", "front"},
                         {"zone-b", "front"},
                         {"zone-a", "orders"},
                         {"zone-b", "orders"},
                         {"zone-c", "orders"},
                         {"zone-c", "orders"}});
  if (HasTrouble()) {
    for (const auto& backend : deployment.backends) {
      backend->SetCrashPaths({kPoison}, kBackendDown);
    }
  }
  deployment.Start(kManifest);
  review::SleepFor(4);  // all machines have been in touch
  Background background(deployment);

  std::vector<Sent> sends;
  for (int i = 0; i < kSends; ++i) {
    const double began = Now();
    sends.push_back(SendRequest(deployment, static_cast<std::size_t>(i % 2),
                                MakeCall("GET", kPoison, "20"), "key-shop",
                                kDeadlineMs));
    review::SleepUntil(began + kPause);
  }
  const std::vector<Sent> others = background.Stop();
  for (std::size_t i = 0; i < 2; ++i) {
    if (!deployment.daemons[i]->IsRunning()) {
      review::Finish(2, "a daemon that took the requests has ended");
    }
  }

  const std::vector<Run> runs = review::Runs();
  std::vector<Run> crashes;
  std::copy_if(runs.begin(), runs.end(), std::back_inserter(crashes),
               [](const Run& run) { return run.path == kPoison; });
  int lost = 0;
  int served = 0;
  for (const Sent& sent : others) {
    const bool has_run =
        std::any_of(runs.begin(), runs.end(),
                    [&](const Run& run) { return run.request == sent.id; });
    lost += has_run && sent.status != 200 ? 1 : 0;
    served += sent.status == 200 ? 1 : 0;
  }
  Note("other requests: " + std::to_string(others.size()) + " sent, " +
       std::to_string(served) + " served, " + std::to_string(lost) +
       " began to run at a backend and got no answer of it");

  if (!HasTrouble()) {
    const bool are_all_served =
        std::all_of(sends.begin(), sends.end(),
                    [](const Sent& sent) { return sent.status == 200; });
    review::Finish(are_all_served && lost == 0 ? 0 : 2,
                   "without the crashes " + std::to_string(served) + " of " +
                       std::to_string(others.size()) +
                       " other requests served, " + std::to_string(lost) +
                       " lost");
  }
  if (crashes.size() < 3) {
    review::Finish(0, "the request has crashed " +
                          std::to_string(crashes.size()) + " backends");
  }
  const double third = crashes[2].at;
  int late_attempts = 0;
  int late_repeats = 0;
  for (const Sent& sent : sends) {
    if (sent.sent_at <= third + kStableWindow) {
      continue;
    }
    const auto arrivals =
        std::count_if(crashes.begin(), crashes.end(),
                      [&](const Run& run) { return run.request == sent.id; });
    late_attempts += arrivals > 0 ? 1 : 0;
    late_repeats += arrivals > 1 ? static_cast<int>(arrivals - 1) : 0;
  }
  review::Finish(
      late_attempts > kMostRetries ? 1 : 0,
      "third crash at " + std::to_string(third) + " s; " +
          std::to_string(late_attempts) +
          " client attempts sent over 3 s later reached backends (limit 3), " +
          std::to_string(late_repeats) + " of them a second one; " +
          std::to_string(crashes.size()) + " backends crashed in all; " +
          std::to_string(lost) + " of " + std::to_string(others.size()) +
          " other requests lost");
}

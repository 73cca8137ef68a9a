// A backend leaves by `deregister`, which its daemon acknowledges. The daemon
// is killed and started again while the backend serves on, and a liveness
// report that the backend sent before it left arrives late at the new process.
//
// DRAIN: a request reaches the backend later than `drain` after the
// acknowledgement, taken and sent on by machines in touch.
#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/stage.h"

namespace {

using review::Backend;
using review::Call;
using review::Deployment;
using review::HasTrouble;
using review::Note;
using review::Now;
using review::Run;
using review::Sent;

constexpr double kStableWindow = 3;
constexpr double kDrain = 2;
constexpr double kKillAfter = 0.5;  // the acknowledgement
constexpr double kDown = 1;         // between the kill and the next start
constexpr double kReportLate = 3;   // "may arrive seconds late"
constexpr double kServesOn = 7;     // "at times many seconds"
constexpr int kDeadlineMs = 2'500;
constexpr std::size_t kLeaver = 2;
constexpr std::size_t kSenders = 2;

const std::string kManifest = R"({"version":"r1",
"routes":{"columns":["name","host","pathPrefix","kind","timeout",
"targetLatency","priority","weightedClusters","attempts","public","service"],
"rows":[
["r-pay","shop.example","/pay/","unsafe","2500ms","1000ms",0,null,2,false,"orders"]]},
"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],
"rows":[["orders","/health",1000,"h1",false],["front","/health",1000,"h1",false]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],
"rows":[["shop",["key-shop"],1,0,0]]}})";

class Clients {
 public:
  explicit Clients(const Deployment& deployment) {
    this->thread = std::thread([this, &deployment] {
      for (int i = 0; !this->has_stopped; ++i) {
        std::thread([this, &deployment, i] {
          Call call;
          call.method = "POST";
          call.path = "/pay/" + std::to_string(i);
          call.headers["Host"] = "shop.example";
          call.headers["Work-Ms"] = "400";
          const Sent sent =
              SendRequest(deployment, static_cast<std::size_t>(i) % kSenders,
                          call, "key-shop", kDeadlineMs);
          const std::lock_guard lock(this->mutex);
          this->sent.push_back(sent);
        }).detach();
        review::SleepFor(0.04);
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
                         {"zone-a", "orders"},
                         {"zone-b", "orders"}});
  deployment.Start(kManifest);
  review::SleepFor(5);  // all machines have been in touch
  Clients clients(deployment);
  review::SleepFor(2);

  Backend& leaver = *deployment.backends[kLeaver];
  const std::string instance = leaver.instance();
  leaver.StopReports();
  const Call late_report = leaver.NextReport("ready");
  const double report_sent_at = Now();
  Note("backend " + instance + " sends a report that is held up on the way");
  review::SleepFor(0.1);
  if (!leaver.Deregister()) {
    review::Finish(2, "the deregister call wasn't acknowledged");
  }
  const double left_at = Now();
  Note("backend " + instance + " has left, acknowledged");
  double started_at = left_at;
  if (HasTrouble()) {
    review::SleepUntil(left_at + kKillAfter);
    deployment.daemons[kLeaver]->Kill();
    review::SleepFor(kDown);
    deployment.daemons[kLeaver]->Start();
    started_at = Now();
  }
  review::SleepUntil(report_sent_at + kReportLate);
  Note("the report arrives, " + std::string(leaver.Report(late_report)
                                                ? "acknowledged"
                                                : "not acknowledged"));
  review::SleepUntil(left_at + kServesOn);
  leaver.Crash();  // it exits, as it had announced
  const std::vector<Sent> sent = clients.Stop();

  // The machines that take the requests have run without trouble all the
  // while. The machine of the leaving backend sends them on; it is in touch
  // again `stableWindow` after its start.
  const double in_touch_at =
      HasTrouble() ? started_at + kStableWindow + 0.1 : left_at;
  int late = 0;
  int lost = 0;
  double first_late = 0;
  for (const Run& run : review::Runs()) {
    if (run.instance != instance || run.at <= left_at + kDrain) {
      continue;
    }
    const auto request =
        std::find_if(sent.begin(), sent.end(),
                     [&](const Sent& one) { return one.id == run.request; });
    if (request == sent.end() || request->sent_at < in_touch_at) {
      continue;
    }
    first_late = late == 0 ? run.at : first_late;
    ++late;
    lost += request->status == 200 ? 0 : 1;
  }
  const auto served =
      std::count_if(sent.begin(), sent.end(),
                    [](const Sent& one) { return one.status == 200; });
  for (std::size_t i = 0; i < deployment.daemons.size(); ++i) {
    if (!deployment.daemons[i]->IsRunning()) {
      review::Finish(2, "a daemon has ended by itself");
    }
  }
  if (served * 2 < static_cast<std::ptrdiff_t>(sent.size())) {
    review::Finish(2, "less than half of the requests were served");
  }
  review::Finish(
      late > 0 ? 1 : 0,
      std::to_string(late) +
          " requests reached the backend later than 2 s "
          "after its acknowledged deregister, sent by machines in touch" +
          (late > 0 ? ", the first " + std::to_string(first_late - left_at) +
                          " s after it; " + std::to_string(lost) +
                          " of them were cut off when it exited"
                    : "") +
          "; " + std::to_string(served) + " of " + std::to_string(sent.size()) +
          " requests served");
}

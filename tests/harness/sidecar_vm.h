// Real sidecar processes on loopback, each with a fake of its target that
// follows the platform's documentation.
#ifndef LYCHEEWELL_TESTS_HARNESS_SIDECAR_VM_H_
#define LYCHEEWELL_TESTS_HARNESS_SIDECAR_VM_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "harness/process.h"
#include "harness/store.h"
#include "lycheewell/io/http/server.h"

namespace lycheewell::harness {

// Port of the store; the VMs take the ports behind it.
inline constexpr int kFirstSidecarPort = 21'400;

// Fake of a target. A request's query selects the answer: wait=MS delays it,
// break closes the connection without an answer, crash ends the target, which
// comes back as another start after kDownTime. One that begins with echo gets
// the request's path and query as the body.
class SidecarTarget {
 public:
  static constexpr std::chrono::milliseconds kDownTime{700};

  explicit SidecarTarget(int port);
  ~SidecarTarget();

  // Ends the target and waits for its next start.
  void Restart();

  // Number of the current start; it also serves as the start's time of birth.
  int born() const { return this->starts; }
  bool is_up() const { return this->up; }
  int crashes() const { return this->starts - 1; }

  std::atomic<int> runs = 0;
  std::string last_account;
  bool saw_key = false;

 private:
  boost::asio::awaitable<std::optional<io::http::Response>> Answer(
      io::http::Request request);
  // Ends the server when a request crashes it, and starts it again.
  void Supervise();

  int port;
  std::atomic<int> starts = 1;
  std::atomic<bool> up = true;
  std::atomic<bool> crash_wanted = false;
  std::atomic<bool> has_ended = false;
  std::optional<FakeServer> fake_server;
  std::thread supervisor;
};

struct Reply {
  unsigned status = 0;  // 0: no complete answer
  std::string request_id;
  std::string signature;
  std::string retry_after;
  std::string body;
};

Reply SendRequest(
    int port, io::http::Verb verb, const std::string& target,
    const std::string& key, const std::string& body = "",
    std::chrono::milliseconds limit = std::chrono::milliseconds(3000),
    const std::string& id = "");

template <typename Condition>
bool Eventually(Condition condition,
                std::chrono::milliseconds limit = std::chrono::seconds(5)) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

// A sidecar and its target.
class SidecarVm {
 public:
  // `store_port` is where this VM finds the store. Peers dial
  // `links_proxy_port` if it is not 0. `bounds` and `limits` are settings in
  // JSON.
  explicit SidecarVm(int number, int store_port = kFirstSidecarPort,
                     int links_proxy_port = 0, std::string data_centre = "z",
                     std::string bounds = "{}", std::string limits = "{}");
  ~SidecarVm();

  SidecarVm(const SidecarVm&) = delete;
  SidecarVm& operator=(const SidecarVm&) = delete;

  // Commands.

  void Start();
  // Kills the sidecar and starts it again; throws if it does not get ready.
  void Restart();
  // The current start of the target announces itself; returns the status.
  unsigned Announce(const std::string& state);
  // Any start of it does.
  unsigned AnnounceAs(int born, int report, const std::string& state,
                      int slots = 4, int cold_ms = 0);
  unsigned Deregister();
  // Posts a report under a path and with a body that may be no report at all.
  unsigned Report(const std::string& path, const std::string& body) const;
  Reply Call(const std::string& target, const std::string& key = "k1",
             io::http::Verb verb = io::http::Verb::post);

  // Queries.

  bool IsReady();
  std::string Log();
  // Those that exist now.
  static const std::set<SidecarVm*>& All();

  int base_port;
  std::string name;
  std::optional<SidecarTarget> target;
  std::optional<Process> process;
  int sequence = 0;
  // From the next start on.
  bool routes_by_cost = false;
  std::string program = DefaultProgram();

 private:
  // LYCHEEWELL_DAEMON names another one, such as one of an earlier version.
  static std::string DefaultProgram();

  int store_port;
  int links_proxy_port;
  std::string data_centre;
  std::string bounds;
  std::string limits;
  std::string folder;
};

// A manifest with the accounts' keys as JSON strings, separated by commas. The
// unsafe routes /pay/ and /long/ and the safe routes /look/ and /scan/ lead to
// the targets; so does the open safe route /inner/, for calls by targets.
std::string SidecarManifest(int version, const std::string& keys);

}  // namespace lycheewell::harness

#endif  // LYCHEEWELL_TESTS_HARNESS_SIDECAR_VM_H_

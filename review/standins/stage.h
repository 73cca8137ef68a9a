// Stand-ins of the review: the platform's store, backends, clients, and the
// daemons under review as separate processes. All addresses are loopback.
//
// One process holds all stand-ins. Each machine of the deployment has a
// loopback address of its own, and the ports are the same on all machines.
#ifndef LYCHEEWELL_REVIEW_STANDINS_STAGE_H_
#define LYCHEEWELL_REVIEW_STANDINS_STAGE_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Seconds since the start of the case.
double Now();
void SleepFor(double seconds);
void SleepUntil(double at);

// Adds a line with the time to record.txt.
void Note(const std::string &line);

// Whether the disruption is played (TROUBLE=0: it isn't).
bool HasTrouble();

// Ends all daemons, removes the temporary folder and ends the process.
// 0: the rule held, 1: it was broken, 2: the case couldn't run.
[[noreturn]] void Finish(int code, const std::string &why);

struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  std::string Header(const std::string &name) const;
  std::string Path() const;
  std::string Method() const;
  int Status() const;
};

struct Address {
  std::string ip;
  int port = 0;

  std::string Text() const { return this->ip + ":" + std::to_string(port); }
};

struct Call {
  std::string method = "GET";
  std::string path = "/";
  std::map<std::string, std::string> headers;
  std::string body;
  double limit_s = 5;
  double read_bytes_per_s = 0;  // 0: reads as fast as it can
};

// Sends one message on a new connection. Status 0: no whole answer.
Message Send(const Address &address, const Call &call);

// A connection that a client keeps open for many requests.
class KeptConnection {
 public:
  explicit KeptConnection(Address new_address)
      : address(std::move(new_address)) {}
  ~KeptConnection();

  // Connects first if there is no open connection. Status 0: no whole answer,
  // and the connection is closed.
  Message Send(const Call &call);
  // Requests that this connection has answered.
  int answered() const { return this->answered_count; }

 private:
  void Close();

  Address address;
  int socket = -1;
  std::string rest;
  int answered_count = 0;
};

// The platform's store: a log with keyed topics.
class Store {
 public:
  // Each machine has an address of its own to the store.
  explicit Store(const std::vector<Address> &addresses);

  void PutManifest(const std::string &document);
  // Calls on this topic get 503, until it is up again; empty: none.
  void SetDown(const std::string &topic);
  // Gives these machines no response any more; closes their connections once
  // they are served again.
  void SetCut(std::set<std::size_t> machines);

  // Machines that have asked for the newest manifest within `seconds`.
  std::set<std::size_t> Readers(double seconds);

 private:
  struct Topic {
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    std::vector<std::string> records;  // with their length before them
  };

  void Serve(int socket, std::size_t machine);
  bool IsCut(std::size_t machine);
  std::string Answer(const Message &message, std::size_t machine);
  std::string Append(const std::string &topic, const std::string &query,
                     const std::string &body);
  void Put(Topic &topic, const std::string &record);

  std::mutex mutex;
  std::map<std::string, Topic> topics;
  std::string down_topic;
  std::set<std::size_t> cut;
  std::map<std::size_t, double> manifest_read_at;  // by machine
};

struct Run {
  double at = 0;
  std::string request;
  std::string instance;
  std::string path;
  std::string tenant;
  bool is_whole = false;  // the backend has sent its whole answer
};

struct Ports {
  int inbound = 0;
  int outbound = 0;
  int ready = 0;
  int control = 0;
  int backend = 0;
  int first = 0;  // of those between daemons
  int last = 0;
};

struct Machine {
  std::string name;
  std::string zone;
  std::string service;
  std::string ip;
};

// An application backend. It works on a request for the milliseconds in its
// header Work-Ms, and crashes when it begins a request on a path in
// `crash_paths`.
class Backend {
 public:
  Backend(Machine machine, const Ports &ports);

  // Commands.

  // Begins a new lifetime and sends liveness reports until it ends.
  void Start();
  // Ends at once; its connections are reset.
  void Crash();
  // Sends no more reports, and goes on serving.
  void StopReports() { this->sends_reports = false; }
  // The report that would come next, not sent yet.
  Call NextReport(const std::string &state);
  // Sends it to the daemon of this machine; true if acknowledged.
  bool Report(const Call &report);
  bool Deregister();

  void SetCrashPaths(std::set<std::string> paths, double down_s);

  // Queries.

  std::string instance();
  const Machine &machine() const { return this->description; }
  int crashes() const { return this->crash_count; }
  bool is_running() const { return this->lifetime_is_on; }

 private:
  struct Lifetime {
    std::string id;
    std::int64_t born = 0;
    std::atomic<bool> has_ended = false;
    int listener = -1;
    std::mutex mutex;
    std::set<int> sockets;
    std::atomic<int> running = 0;
  };

  void Accept(const std::shared_ptr<Lifetime> &lifetime);
  void Serve(int socket, const std::shared_ptr<Lifetime> &lifetime);
  bool RunRequest(int socket, const Message &request,
                  const std::shared_ptr<Lifetime> &lifetime);
  void SendReports(const std::shared_ptr<Lifetime> &lifetime);

  Machine description;
  Ports ports;
  std::mutex mutex;
  std::shared_ptr<Lifetime> lifetime;
  std::set<std::string> crash_paths;
  double down_s = 3;
  std::atomic<bool> lifetime_is_on = false;
  std::atomic<bool> sends_reports = true;
  std::atomic<int> sequence = 0;
  std::atomic<int> crash_count = 0;
  int starts = 0;
};

// What all backends have run, in order.
std::vector<Run> Runs();

// A daemon, started as the deploy file says.
class Daemon {
 public:
  Daemon(Machine machine, const Ports &ports, const Address &store);

  void Start();
  void Signal(int number);
  void Kill();
  // Waits until the process has ended by itself.
  bool AwaitEnd(double limit_s);
  bool IsReady() const;
  // Private memory that the process holds; 0 if there is none.
  double MemoryMb() const;
  bool IsRunning();
  const Machine &machine() const { return this->description; }

 private:
  Machine description;
  Ports ports;
  std::string settings_path;
  std::string log_path;
  std::atomic<pid_t> id = -1;
};

struct MachineSpec {
  std::string zone;
  std::string service;
};

// A whole deployment: a store, and a daemon and a backend on each machine.
class Deployment {
 public:
  explicit Deployment(const std::vector<MachineSpec> &specs);

  // Puts the first manifest and waits until all daemons are ready.
  void Start(const std::string &manifest);
  Address Outbound(std::size_t machine) const;
  void CheckDaemonsRun();

  Ports ports;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<std::unique_ptr<Backend>> backends;
};

// A client's request and what it saw.
struct Sent {
  std::string id;
  std::size_t machine = 0;
  std::string path;
  double sent_at = 0;
  double answered_at = 0;
  int status = 0;
  int answered_before = 0;  // on the same connection
};

// Sends a client's request and writes it to the record; on a new connection if
// `kept` is null.
Sent SendRequest(const Deployment &deployment, std::size_t machine, Call call,
                 const std::string &key, int deadline_ms,
                 KeptConnection *kept = nullptr);

// The most requests that were sent and arrived at a backend in a window of
// `length` seconds, and when it begins.
struct Busiest {
  std::size_t count = 0;
  double from = 0;
  std::size_t all = 0;  // that arrived at all
};
Busiest BusiestWindow(const std::vector<Sent> &sent, double length);

}  // namespace review

#endif  // LYCHEEWELL_REVIEW_STANDINS_STAGE_H_

// A small fleet of real processes on loopback: the stand-in log, daemons and
// stand-in targets.
#ifndef LYCHEEWELL_TESTS_HARNESS_FLEET_H_
#define LYCHEEWELL_TESTS_HARNESS_FLEET_H_

#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "harness/caller.h"
#include "harness/process.h"
#include "lycheewell/peers/transport.h"

namespace lycheewell::harness {

// The path of a program of this build.
std::string Program(const std::string& name);

// Checks `condition` until it holds or `limit` passes.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit = std::chrono::seconds(30));

struct NodeOptions {
  std::string data_centre = "one";
  std::string service;  // empty: no target beside the daemon
  int slots = 64;
};

// A daemon and the target beside it.
class Node {
 public:
  std::string callers_address;
  std::string local_address;
  std::string operators_address;
  std::string peers_address;
  std::string target_address;
  std::string settings_path;
  std::string log_path;
  std::string journal_path;
  NodeOptions options;
  std::unique_ptr<Process> daemon;
  std::unique_ptr<Process> target;
};

class Fleet {
 public:
  // Starts the stand-in log in a new directory.
  Fleet();
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Commands.

  // Adds a node and starts its daemon, and its target where it has one.
  Node& Add(const NodeOptions& options);
  void StartDaemon(Node& node);
  void StartTarget(Node& node);

  // Waits until every node that runs is a live member at one offset, every
  // target has announced itself and every account has a settled roster.
  bool WaitUntilSettled();

  // Runs the operators' client against a node.
  CommandResult Client(const Node& node, std::vector<std::string> arguments);

  // Plans and confirms; fails the process when it is not accepted.
  void Change(const Node& node, std::vector<std::string> plan);

  // Sets an account with its rate and burst, and returns a new key of it.
  std::string AddAccount(const Node& node, const std::string& account,
                         double rate, double burst);

  void ControlLog(const std::string& order);
  void ControlTarget(const Node& node, const std::string& order);

  // Sets what the node's daemon does to messages of peers (see test_faults).
  void SetFaults(const Node& node, const std::string& faults);

  // Queries.

  boost::json::object Status(const Node& node);
  std::vector<boost::json::object> Journal(const Node& node) const;
  std::string DaemonLog(const Node& node) const;
  Node& node(std::size_t index) { return *this->nodes.at(index); }
  std::size_t size() const { return this->nodes.size(); }
  const std::string& token() const { return this->operator_token; }
  const std::string& directory() const { return this->path; }

 private:
  void WriteSettings(const Node& node) const;
  std::string NextAddress();

  std::string path;
  std::string operator_token;
  peers::KeyPair fleet_key;
  std::string log_address;
  std::unique_ptr<Process> log;
  std::vector<std::unique_ptr<Node>> nodes;
};

}  // namespace lycheewell::harness

#endif  // LYCHEEWELL_TESTS_HARNESS_FLEET_H_

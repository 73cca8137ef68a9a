#include "harness/fleet.h"

#include <signal.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "lycheewell/core/digest.h"

namespace lycheewell::harness {
namespace json = boost::json;

namespace {

constexpr const char* kBinDir = LYCHEEWELL_BIN_DIR;
constexpr auto kPollTime = std::chrono::milliseconds(20);

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// A port that nobody uses now, below those that the system gives to outgoing
// connections.
std::uint16_t FreePort() {
  constexpr int kFirstPort = 12'000;
  constexpr int kPorts = 18'000;
  static int next = static_cast<int>(getpid()) * 50;
  while (true) {
    const auto port = static_cast<std::uint16_t>(kFirstPort + next++ % kPorts);
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, error);
    if (!error) {
      return port;
    }
  }
}

std::string MakeDirectory() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "lycheewell-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot make a directory for the fleet");
  }
  return pattern;
}

bool HasSettledRosters(const json::object& status) {
  std::size_t accounts = 0;
  for (const json::value& object : status.at("objects").as_array()) {
    const json::string& name = object.as_object().at("object").as_string();
    accounts += name.starts_with("account/") ? 1 : 0;
  }
  return status.at("rosters").as_array().size() >= accounts;
}

bool EveryoneIsAlive(const json::object& status, std::size_t expected) {
  std::size_t alive = 0;
  for (const json::value& item : status.at("members").as_array()) {
    const json::object& member = item.as_object();
    alive += member.at("health").as_string() == "alive" ? 1 : 0;
  }
  return alive >= expected;
}

// Services of the members that are alive, as `status` tells them.
std::size_t CountServices(const json::object& status) {
  std::size_t services = 0;
  for (const json::value& item : status.at("members").as_array()) {
    services += item.as_object().at("service").as_string().empty() ? 0 : 1;
  }
  return services;
}

}  // namespace

std::string Program(const std::string& name) {
  return std::string(kBinDir) + "/" + name;
}

bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds limit) {
  const auto give_up = std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < give_up) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollTime);
  }
  return condition();
}

Fleet::Fleet()
    : path(MakeDirectory()),
      operator_token(core::RandomHex(16)),
      fleet_key(peers::GenerateKeyPair()),
      log_address(this->NextAddress()) {
  this->log = std::make_unique<Process>(
      std::vector<std::string>{Program("standin_log"), "--address",
                               this->log_address},
      this->path + "/log.out");
  WaitUntil([this] {
    return CallOnce(this->log_address, {.target = "/records?from=0&limit=1"})
               .status == 200;
  });
}

Fleet::~Fleet() {
  this->nodes.clear();
  this->log.reset();
  if (std::getenv("LYCHEEWELL_KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->path, ignored);
  }
}

std::string Fleet::NextAddress() {
  return "127.0.0.1:" + std::to_string(FreePort());
}

Node& Fleet::Add(const NodeOptions& options) {
  auto node = std::make_unique<Node>();
  const std::string name = std::to_string(this->nodes.size());
  node->options = options;
  node->callers_address = this->NextAddress();
  node->local_address = this->NextAddress();
  node->operators_address = this->NextAddress();
  node->peers_address = this->NextAddress();
  node->target_address = this->NextAddress();
  node->settings_path = this->path + "/daemon-" + name + ".json";
  node->log_path = this->path + "/daemon-" + name + ".log";
  node->journal_path = this->path + "/target-" + name + ".journal";
  this->WriteSettings(*node);
  this->nodes.push_back(std::move(node));
  Node& added = *this->nodes.back();
  this->StartDaemon(added);
  if (!options.service.empty()) {
    this->StartTarget(added);
  }
  return added;
}

void Fleet::WriteSettings(const Node& node) const {
  const json::object settings{
      {"data_centre", node.options.data_centre},
      {"callers_address", node.callers_address},
      {"local_address", node.local_address},
      {"operators_address", node.operators_address},
      {"peers_address", node.peers_address},
      {"log", {{"address", this->log_address}, {"timeout_ms", 1000}}},
      {"fleet",
       {{"public_key", this->fleet_key.public_key},
        {"secret_key", this->fleet_key.secret_key},
        {"key_hash_secret", "a secret for tests only"}}},
      {"operators",
       json::array{json::object{
           {"name", "asha"},
           {"token_sha256", core::Sha256Hex(this->operator_token)}}}},
      {"logging", {{"level", "info"}, {"file", node.log_path}}},
      {"snapshot_every_records", 50},
      {"test_faults", true}};
  std::ofstream file(node.settings_path);
  file << json::serialize(settings) << "\n";
}

void Fleet::StartDaemon(Node& node) {
  node.daemon = std::make_unique<Process>(
      std::vector<std::string>{Program("lycheewelld"), "--settings",
                               node.settings_path},
      node.log_path + ".out");
}

void Fleet::StartTarget(Node& node) {
  node.target = std::make_unique<Process>(
      std::vector<std::string>{
          Program("standin_target"), "--address", node.target_address,
          "--daemon", node.local_address, "--service", node.options.service,
          "--slots", std::to_string(node.options.slots), "--journal",
          node.journal_path},
      node.journal_path + ".out");
}

bool Fleet::WaitUntilSettled() {
  return WaitUntil([this] {
    std::size_t running = 0;
    std::size_t targets = 0;
    for (const auto& node : this->nodes) {
      const bool runs = node->daemon && node->daemon->IsRunning();
      const bool has_failed =
          node->daemon && !runs && node->daemon->Wait() != 0;
      if (has_failed) {
        return false;
      }
      running += runs ? 1 : 0;
      targets += runs && node->target && node->target->IsRunning() ? 1 : 0;
    }
    for (const auto& node : this->nodes) {
      if (!node->daemon || !node->daemon->IsRunning()) {
        continue;
      }
      const json::object status = this->Status(*node);
      const bool is_settled = !status.empty() && status.at("ready").as_bool() &&
                              status.at("laggards").as_array().empty() &&
                              EveryoneIsAlive(status, running) &&
                              CountServices(status) >= targets &&
                              HasSettledRosters(status);
      if (!is_settled) {
        return false;
      }
    }
    return true;
  });
}

CommandResult Fleet::Client(const Node& node,
                            std::vector<std::string> arguments) {
  std::vector<std::string> command = {Program("lycheewell")};
  command.insert(command.end(), arguments.begin(), arguments.end());
  command.insert(command.end(), {"--daemon", node.operators_address, "--token",
                                 this->operator_token});
  return RunCommand(command);
}

void Fleet::Change(const Node& node, std::vector<std::string> plan) {
  const std::string file = this->path + "/plan-" + core::RandomHex(4) + ".json";
  plan.insert(plan.end(), {"--plan", file});
  const CommandResult planned = this->Client(node, plan);
  if (planned.exit_code != 0) {
    throw std::runtime_error("the plan failed: " + planned.output);
  }
  const CommandResult confirmed = this->Client(
      node,
      {"confirm", "--plan", file, "--reason", "test", "--accept-disruption"});
  if (confirmed.exit_code != 0) {
    throw std::runtime_error("the change was not accepted: " +
                             confirmed.output);
  }
}

std::string Fleet::AddAccount(const Node& node, const std::string& account,
                              double rate, double burst) {
  this->Change(node, {"plan", "account", account, "--rate",
                      std::to_string(rate), "--burst", std::to_string(burst)});
  const std::string file = this->path + "/key-" + account + ".json";
  const CommandResult planned =
      this->Client(node, {"plan", "issue-key", account, "--id",
                          account + "-key", "--plan", file, "--json"});
  const json::value plan = json::parse(planned.output);
  const CommandResult confirmed =
      this->Client(node, {"confirm", "--plan", file, "--reason", "test"});
  if (confirmed.exit_code != 0) {
    throw std::runtime_error("the key was not accepted: " + confirmed.output);
  }
  return plan.as_object().at("new_key").as_string().c_str();
}

void Fleet::ControlLog(const std::string& order) {
  CallOnce(this->log_address,
           {.method = "POST", .target = "/control", .body = order});
}

void Fleet::ControlTarget(const Node& node, const std::string& order) {
  CallOnce(node.target_address,
           {.method = "POST", .target = "/control", .body = order});
}

void Fleet::SetFaults(const Node& node, const std::string& faults) {
  const CallerAnswer answer =
      CallOnce(node.operators_address, {.method = "POST",
                                        .target = "/v1/test/faults",
                                        .key = this->operator_token,
                                        .body = faults});
  if (answer.status != 200) {
    throw std::runtime_error("the faults were not set: " + answer.body);
  }
}

json::object Fleet::Status(const Node& node) {
  const CallerAnswer answer = CallOnce(
      node.operators_address,
      {.method = "GET", .target = "/v1/status", .key = this->operator_token});
  boost::system::error_code error;
  const json::value value = json::parse(answer.body, error);
  return answer.status == 200 && !error ? value.as_object() : json::object{};
}

std::vector<json::object> Fleet::Journal(const Node& node) const {
  std::vector<json::object> entries;
  std::istringstream lines(ReadFile(node.journal_path));
  std::string line;
  while (std::getline(lines, line)) {
    boost::system::error_code error;
    const json::value value = json::parse(line, error);
    if (!error) {
      entries.push_back(value.as_object());
    }
  }
  return entries;
}

std::string Fleet::DaemonLog(const Node& node) const {
  return ReadFile(node.log_path);
}

}  // namespace lycheewell::harness

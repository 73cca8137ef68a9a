// A liveness report comes from another writer: its instance id cannot be read.
// A daemon is being stopped in a planned way, and its clients' requests are at
// work at the backend of which the report seems to speak.
#include "stage.h"

namespace {
using namespace stage;

constexpr int kClients = 10;
constexpr milliseconds kWork{1'500};  // of an order
constexpr milliseconds kAskBeforeStop{200};
constexpr milliseconds kReportAfterStop{400};
constexpr std::size_t kFront = 0;  // the daemon that is stopped

struct Outcome {
  std::string id;
  double sent = 0;
  double ended = 0;
  int status = 0;  // 0: no complete answer
  bool is_signed = false;
};

int Play(const std::string& repository, Record& record) {
  Deployment deployment(
      repository,
      {{"kochi-a", "catalogue"}, {"kochi-b", "orders"}, {"kochi-a", "orders"}},
      {.work = [](const Message& request) {
        return request.target().starts_with("/order/") ? kWork
                                                       : milliseconds(5);
      }});
  deployment.store->Put(
      "keyed.op", "config",
      Manifest(1,
               {{.name = "order",
                 .prefix = "/order/",
                 .kind = "unsafe",
                 .service = "orders",
                 .target_ms = 4000},
                {.name = "stock",
                 .prefix = "/stock/",
                 .kind = "safe",
                 .service = "orders"}},
               {"catalogue", "orders"}, {{.name = "maker", .key = "key-1"}}));
  deployment.StartAll();
  deployment.AwaitReady();
  const Address front = deployment.Outbound(kFront);
  const std::string ip = deployment.IpOf(kFront);

  std::vector<Outcome> outcomes(kClients);
  std::vector<std::thread> clients;
  std::atomic<int> kept = 0;
  std::atomic<bool> may_ask = false;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Outcome& outcome = outcomes[static_cast<std::size_t>(i)];
      outcome.id = "order-" + std::to_string(i);
      const Socket socket = Socket::Connect(front, 0, ip);
      Reader reader(socket);
      socket.Write(RequestText({.target = "/stock/1",
                                .id = "first-" + std::to_string(i),
                                .key = "key-1"}));
      const auto first = reader.Next(Clock::now() + seconds(6));
      kept += first && first->status() == 200 ? 1 : 0;
      while (!may_ask) {
        std::this_thread::sleep_for(milliseconds(1));
      }
      outcome.sent = record.At(Clock::now());
      socket.Write(RequestText({.method = "POST",
                                .target = "/order/" + std::to_string(i),
                                .id = outcome.id,
                                .key = "key-1",
                                .body = "one bench"}));
      const auto answer = reader.Next(Clock::now() + seconds(6));
      outcome.ended = record.At(Clock::now());
      outcome.status = answer ? answer->status() : 0;
      outcome.is_signed =
          answer && !answer->Header("Response-Signature").empty();
    });
  }
  std::this_thread::sleep_for(seconds(1));
  may_ask = true;
  std::this_thread::sleep_for(kAskBeforeStop);
  const auto stop_at = Clock::now();
  record.Line("SIGTERM to the daemon of " + deployment.NameOf(kFront));
  std::thread stopper([&] {
    deployment.Stop(kFront);
    record.Line("it has ended");
  });
  std::this_thread::sleep_until(stop_at + kReportAfterStop);
  for (std::size_t machine = 1; machine <= 2; ++machine) {
    // With the trouble the id is no text; without it the state is none.
    const std::string id = HasTrouble() ? "i-\xff\xfe" : "i-other";
    const std::string state = HasTrouble() ? "\"ready\"" : "7";
    const auto born = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    const std::string body = "{\"address\":\"" + deployment.IpOf(machine) +
                             ":1\",\"born\":" + std::to_string(born) +
                             ",\"info\":{\"service\":\"orders\",\"version\":"
                             "\"v1\",\"zone\":\"kochi-b\","
                             "\"slots\":200},\"status\":{\"state\":" +
                             state + ",\"seq\":1,\"cold_time\":\"0ms\"}}";
    const Socket socket = Socket::Connect(deployment.Control(machine), 0,
                                          deployment.IpOf(machine));
    Reader reader(socket);
    socket.Write("POST /v1/instances/" + id +
                 "/heartbeat HTTP/1.1\r\nHost: x\r\n"
                 "Content-Type: application/json\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body);
    const auto answer = reader.Next(Clock::now() + seconds(2));
    record.Line(
        "report with " +
        std::string(HasTrouble() ? "the id i-(0xFF)(0xFE)" : "the state 7") +
        " to the daemon of " + deployment.NameOf(machine) + ": status " +
        std::to_string(answer ? answer->status() : 0));
  }
  for (std::thread& client : clients) {
    client.join();
  }
  stopper.join();
  if (kept != kClients) {
    record.Line("a first request was not served");
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(milliseconds(500));
  const std::vector<Run> runs = deployment.journal.runs();
  int broken_off = 0;
  for (const Outcome& outcome : outcomes) {
    const auto run =
        std::find_if(runs.begin(), runs.end(),
                     [&](const Run& one) { return one.id == outcome.id; });
    const bool has_run = run != runs.end();
    const double begun = has_run ? record.At(run->arrived_at) : 0;
    // The answer is the daemon's own, and the backend was at work meanwhile.
    const bool was_at_work = has_run && outcome.ended > begun &&
                             outcome.ended < begun + Seconds(kWork);
    const bool is_lost =
        was_at_work && (outcome.status == 0 || !outcome.is_signed);
    broken_off += is_lost ? 1 : 0;
    record.Line("request " + outcome.id + ": sent " +
                std::to_string(outcome.sent) + ", " +
                (has_run ? "at work at " + run->machine + " from " +
                               std::to_string(begun) + " for 1.5 s"
                         : std::string("not run")) +
                ", ended " + std::to_string(outcome.ended) + " with status " +
                std::to_string(outcome.status) +
                (outcome.is_signed ? " of the backend" : "") +
                (is_lost ? ": BROKEN OFF" : ""));
  }
  record.Line(std::to_string(broken_off) + " of " + std::to_string(kClients) +
              " requests were broken off while their backend was at work");
  if (!deployment.IsRunning(1) || !deployment.IsRunning(2)) {
    return kCouldNotRun;
  }
  return broken_off > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace

int main(int argc, char** argv) { return Main(argc, argv, Play); }

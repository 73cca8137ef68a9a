// Settings, the event catalogue and the conversions of requests.
#include "lycheewell/daemon/settings/settings.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "lycheewell/daemon/events/event_catalogue.h"
#include "lycheewell/daemon/metrics/metrics.h"
#include "lycheewell/daemon/requests/call.h"

namespace {

using namespace lycheewell::daemon;  // NOLINT

std::string ReadFile(const std::string& name) {
  std::ifstream file(std::string(LYCHEEWELL_SOURCE_DIR) + "/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool Reports(const settings::Problems& problems, const std::string& path) {
  return std::any_of(
      problems.begin(), problems.end(),
      [&](const settings::Problem& problem) { return problem.path == path; });
}

TEST_CASE("a settings file is checked as a whole", "[settings]") {
  SECTION("the commented example is valid") {
    const auto loaded =
        settings::ParseSettings(ReadFile("examples/settings.json"));
    REQUIRE(std::holds_alternative<settings::Settings>(loaded));
    CHECK(std::get<settings::Settings>(loaded).data_centre == "luzon-1");
  }
  SECTION("all problems are told together, with their paths") {
    const auto loaded = settings::ParseSettings(R"({
      // no data centre
      "callers_address": "nowhere", "local_address": "127.0.0.1:2",
      "operators_address": "127.0.0.1:3", "peers_address": 4,
      "log": {"address": "127.0.0.1:5", "timeout_ms": -1, "colour": "red"},
      "operators": [{"name": "asha"}], "workers": 1000 })");
    const auto& problems = std::get<settings::Problems>(loaded);
    for (const char* path :
         {"data_centre", "callers_address", "peers_address", "log.timeout_ms",
          "log.colour", "fleet", "operators[0].token_sha256", "workers"}) {
      INFO(path);
      CHECK(Reports(problems, path));
    }
  }
  SECTION("what is no JSON is told as such") {
    CHECK(std::holds_alternative<settings::Problems>(
        settings::ParseSettings("{")));
    CHECK(std::holds_alternative<settings::Problems>(
        settings::ParseSettings("[]")));
  }
  SECTION("docs/SETTINGS.md names every field of the example") {
    const std::string docs = ReadFile("docs/SETTINGS.md");
    for (const char* field : {"data_centre",
                              "callers_address",
                              "local_address",
                              "operators_address",
                              "peers_address",
                              "log.address",
                              "log.timeout_ms",
                              "fleet.public_key",
                              "fleet.secret_key",
                              "fleet.key_hash_secret",
                              "operators[].name",
                              "operators[].token_sha256",
                              "limits.body_bytes",
                              "limits.header_bytes",
                              "limits.held_bytes",
                              "limits.default_timeout_ms",
                              "limits.largest_timeout_ms",
                              "logging.level",
                              "logging.file",
                              "workers",
                              "drain_timeout_ms",
                              "snapshot_every_records",
                              "test_faults"}) {
      INFO(field);
      CHECK(docs.find("`" + std::string(field) + "`") != std::string::npos);
    }
  }
}

TEST_CASE("the event catalogue and its page say the same", "[events]") {
  const std::string docs = ReadFile("docs/EVENTS.md");
  std::set<int> numbers;
  for (const auto& entry : events::Catalogue()) {
    const int number = static_cast<int>(entry.event);
    CHECK(numbers.insert(number).second);
    const std::string row = "| LW" + std::to_string(number) + " | " +
                            std::string(events::LevelName(entry.level)) +
                            " | " + std::string(entry.name) + " |";
    INFO(row);
    CHECK(docs.find(row) != std::string::npos);
  }
  std::size_t rows = 0;
  for (std::size_t at = docs.find("| LW"); at != std::string::npos;
       at = docs.find("| LW", at + 1)) {
    ++rows;
  }
  CHECK(rows == numbers.size());
}

TEST_CASE("a call survives the way to another daemon", "[requests]") {
  const lycheewell::core::Instant now{};
  const requests::Call call{.request_id = "r",
                            .account = "club",
                            .importance = lycheewell::core::Importance::kHigh,
                            .rank = 130,
                            .deadline = now + std::chrono::seconds(3),
                            .retry_credit = 2,
                            .route_key = "route/payments POST /fees",
                            .service = "payments",
                            .method = "POST",
                            .target = "/payments/fees?x=1",
                            .headers = {{"Content-Type", "text/plain"}},
                            .body = std::string("a\0b", 3),
                            .fingerprint = "f",
                            .idempotency_key = "k",
                            .attempt_id = "a"};
  CHECK(requests::FromForward(requests::ToForward(call, now), now) == call);

  SECTION("also with bytes that are no UTF-8, as HTTP allows") {
    requests::Call odd = call;
    odd.headers = {{"X-Name", "Jos\xe9"}};
    odd.target = "/payments/\xff";
    const std::string bytes = requests::ToForward(odd, now).SerializeAsString();
    lycheewell::peers::Forward received;
    REQUIRE(received.ParseFromString(bytes));
    CHECK(requests::FromForward(received, now) == odd);
  }
  SECTION("and so does its result") {
    const requests::CallResult result{
        .outcome = requests::Outcome::kRan,
        .status = 201,
        .headers = {{"X", "y"}},
        .body = "done",
        .admission_level = 7,
        .unused_credit = 1,
        .retry_after = std::chrono::milliseconds(5)};
    CHECK(requests::FromForwardAnswer(requests::ToForwardAnswer(result)) ==
          result);
  }
}

TEST_CASE("metrics come in the scrapers' text form", "[metrics]") {
  metrics::Metrics metrics;
  metrics.Count(metrics::Counter::kRequests, 3);
  for (int request = 1; request <= 100; ++request) {
    metrics.RecordRequest(std::chrono::milliseconds(request));
  }
  const std::string text = metrics.Render();
  CHECK(text.find("lycheewell_requests_total 3\n") != std::string::npos);
  CHECK(text.find("quantile=\"0.99\"") != std::string::npos);
  CHECK(metrics.RequestLatency().p50_seconds == Approx(0.05).epsilon(0.2));
}

}  // namespace

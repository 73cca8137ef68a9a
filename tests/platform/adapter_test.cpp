#include "lycheewell/platform/adapter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {
using namespace lycheewell;
using io::http::Request;
using io::http::Response;
using std::chrono::milliseconds;

constexpr const char* kSourceDir = LYCHEEWELL_SOURCE_DIR;

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

Request MakeClientRequest() {
  Request request(io::http::Verb::post, "/fees/1?x=2", 11);
  request.set("Host", "a.example");
  request.set("Request-Id", "9c41");
  request.set("Deadline-Ms", "5000");
  request.set("Authorization", "Bearer secret");
  request.set("Tenant-Id", "forged");
  request.set("Caller-Service", "forged");
  request.set("Expected-Instance", "forged");
  request.set("Connection", "keep-alive, X-Hop");
  request.set("X-Hop", "1");
  request.set("X-Trace", "t");
  return request;
}

Request MakeHeartbeat(const std::string& body) {
  Request request(io::http::Verb::post, "/v1/instances/i-1/heartbeat", 11);
  request.body() = body;
  return request;
}

constexpr const char* kManifest =
    R"({"version":"r7","routes":{"columns":["name","host","pathPrefix","kind",
"timeout","targetLatency","priority","weightedClusters","attempts","public","service"],"rows":[
["a","a.example","/x/","safe","1000ms","1.5s",2,[{"service":"s","weight":90},{"service":"t","weight":10}],2,false,null],
["b","b.example","/y/","unsafe","1200ms","1500ms",0,null,3,true,"u"],
["c","c.example","/z/","upload","1200ms","500ms",1,null,3,true,"u"],
["d","d.example","/w/","stream","1200ms","500ms",1,null,3,true,"u"]]},
"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[["s","/health",406,"h1",false]]},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},
"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[["club",["k1","k2"],1,63,64]]}})";

}  // namespace

TEST_CASE("Client requests are decoded or rejected", "[platform]") {
  const auto dialect = platform::MakeDialect();

  SECTION("the fields that the sidecar uses are decoded") {
    const auto decoded = std::get<sidecar::ClientRequest>(
        dialect.decode_request(MakeClientRequest()));
    CHECK(decoded.id == "9c41");
    CHECK(decoded.key == "secret");
    CHECK(decoded.time_limit == milliseconds(5000));
    CHECK(decoded.path_and_query == "/fees/1?x=2");

    SECTION(
        "the key, forged system headers and connection headers are removed") {
      CHECK(decoded.header_lines.find("secret") == std::string::npos);
      CHECK(decoded.header_lines.find("forged") == std::string::npos);
      CHECK(decoded.header_lines.find("X-Hop") == std::string::npos);
      CHECK(decoded.header_lines.find("X-Trace: t\r\n") != std::string::npos);
      CHECK(decoded.header_lines.find("Request-Id: 9c41\r\n") !=
            std::string::npos);
    }
  }
  SECTION("a request without id or with a malformed time limit is rejected") {
    Request no_id = MakeClientRequest();
    no_id.erase("Request-Id");
    CHECK(std::holds_alternative<sidecar::Unusable>(
        dialect.decode_request(no_id)));
    Request bad_limit = MakeClientRequest();
    bad_limit.set("Deadline-Ms", "5s");
    CHECK(std::holds_alternative<sidecar::Unusable>(
        dialect.decode_request(bad_limit)));
  }
}

TEST_CASE("A target's response states whether the request has run",
          "[platform]") {
  const auto dialect = platform::MakeDialect();
  Response response(io::http::Status::service_unavailable, 11);

  SECTION("an error status alone does not mean that the request has not run") {
    CHECK_FALSE(dialect.decode_answer(response).has_not_run);
  }
  SECTION("the header Not-Executed means that the request has not run") {
    response.set("Not-Executed", "1");
    CHECK(dialect.decode_answer(response).has_not_run);
  }
  SECTION("status 421 means another instance and a request that has not run") {
    response.result(421);
    CHECK(dialect.decode_answer(response).has_not_run);
    CHECK(dialect.decode_answer(response).is_wrong_instance);
  }
  SECTION("a response to another request is detected by its id") {
    response.set("Request-Id", "1");
    CHECK(dialect.is_answer_to(response, "1"));
    CHECK_FALSE(dialect.is_answer_to(response, "2"));
    response.erase("Request-Id");
    CHECK_FALSE(dialect.is_answer_to(response, "1"));
  }
}

TEST_CASE("A target's response names the rate that it takes", "[platform]") {
  const auto dialect = platform::MakeDialect();
  Response response(io::http::Status::ok, 11);
  const auto decode = [&](const std::string& text) {
    response.set("Server-Limit", text);
    return dialect.decode_answer(response);
  };

  SECTION("as a decimal number") {
    CHECK(decode("32.7").limit_per_second == 32.7);
    CHECK(decode("0.25").limit_per_second == 0.25);
    CHECK(decode("0").limit_per_second == 0.0);
    CHECK(decode(" 12 ").limit_per_second == 12.0);
    CHECK_FALSE(decode("32.7").unreadable_limit);
  }
  SECTION("or not at all") {
    CHECK_FALSE(dialect.decode_answer(response).limit_per_second);
    CHECK_FALSE(dialect.decode_answer(response).unreadable_limit);
  }
  SECTION("or unreadably") {
    for (const std::string text :
         {"", "many", "-1", "3,5", "1e3", "nan", "inf", "12/s", "0x10"}) {
      CHECK_FALSE(decode(text).limit_per_second);
      CHECK(decode(text).unreadable_limit == text);
    }
  }
  SECTION("more than once, and the lowest counts") {
    response.insert("Server-Limit", "40");
    response.insert("Server-Limit", "7.5");
    response.insert("Server-Limit", "x");
    CHECK(dialect.decode_answer(response).limit_per_second == 7.5);
  }
}

TEST_CASE("A health answer says whether the target is cold", "[platform]") {
  const auto dialect = platform::MakeDialect();
  Response response(io::http::Status::ok, 11);
  response.set("Instance-Id", "i-1");
  const auto cold_for = [&](const std::string& text) {
    response.set("Cold-Ms", text);
    return dialect.decode_health(response).cold_for;
  };
  CHECK(dialect.decode_health(response).instance == "i-1");
  CHECK(dialect.decode_health(response).is_healthy);

  SECTION("in milliseconds") {
    CHECK(cold_for("2400") == milliseconds(2400));
    CHECK(cold_for("0") == milliseconds(0));
  }
  SECTION("not at all, if it is healthy and warm") {
    CHECK(dialect.decode_health(response).cold_for == milliseconds(0));
  }
  SECTION("but nothing if it is not healthy and names no time") {
    response.result(503);
    CHECK_FALSE(dialect.decode_health(response).is_healthy);
    CHECK_FALSE(dialect.decode_health(response).cold_for);
    CHECK(cold_for("2400") == milliseconds(2400));
  }
  SECTION("or unreadably, which says nothing") {
    for (const std::string text : {"", "soon", "-1", "1e9", "99999999999"}) {
      CHECK_FALSE(cold_for(text));
    }
  }
}

TEST_CASE("A target's response says that it leaves", "[platform]") {
  const auto dialect = platform::MakeDialect();
  Response response(io::http::Status::ok, 11);
  CHECK_FALSE(dialect.decode_answer(response).is_leaving);
  response.set("Server-Leaving", "1");
  CHECK(dialect.decode_answer(response).is_leaving);
  for (const std::string other : {"0", "", "yes", "11"}) {
    response.set("Server-Leaving", other);
    CHECK_FALSE(dialect.decode_answer(response).is_leaving);
  }
}

TEST_CASE("Announcements are accepted only if all required fields are valid",
          "[platform]") {
  const auto dialect = platform::MakeDialect();

  // The parts of a complete heartbeat.
  const std::string born = R"("born":17)";
  const std::string address = R"("address":"127.0.0.1:1")";
  const std::string info =
      R"("info":{"service":"s","version":"v1","zone":"z","slots":51})";
  const std::string status =
      R"("status":{"state":"draining","seq":4,"cold_time":"2s"})";
  const auto join = [](std::initializer_list<std::string> parts) {
    std::string body;
    for (const std::string& part : parts) {
      body += (body.empty() ? "{" : ",") + part;
    }
    return body + "}";
  };

  SECTION("a complete heartbeat is decoded") {
    sidecar::Announcement expected{.instance = "i-1",
                                   .state = sidecar::TargetState::kLeaving,
                                   .service = "s",
                                   .slots = 51,
                                   .sequence = 4,
                                   .born_ms = 17,
                                   .cold_for = std::chrono::seconds(2)};
    CHECK(std::get<sidecar::Announcement>(dialect.decode_announcement(
              MakeHeartbeat(join({born, address, info, status})))) == expected);

    SECTION("also without the time of birth") {
      expected.born_ms = 0;
      CHECK(std::get<sidecar::Announcement>(dialect.decode_announcement(
                MakeHeartbeat(join({address, info, status})))) == expected);
    }
  }
  SECTION("a heartbeat with a missing or invalid field is rejected") {
    std::vector<std::string> bodies = {
        "",
        "{",
        "[]",
        "{}",
        "\xff\xfe",
        join({info, status}),
        join({address, info}),
        join({address, status}),
        join({R"("address":7)", info, status}),
        join({R"("born":"17")", address, info, status}),
        join({R"("born":-17)", address, info, status}),
        join({R"("born":17.5)", address, info, status})};
    for (const char* other_info :
         {R"("info":7)", R"("info":{"version":"v1","zone":"z","slots":51})",
          R"("info":{"service":7,"version":"v1","zone":"z","slots":51})",
          R"("info":{"service":"s","zone":"z","slots":51})",
          R"("info":{"service":"s","version":1,"zone":"z","slots":51})",
          R"("info":{"service":"s","version":"v1","slots":51})",
          R"("info":{"service":"s","version":"v1","zone":7,"slots":51})",
          R"("info":{"service":"s","version":"v1","zone":"z"})",
          R"("info":{"service":"s","version":"v1","zone":"z","slots":"51"})",
          R"("info":{"service":"s","version":"v1","zone":"z","slots":0})",
          R"("info":{"service":"s","version":"v1","zone":"z","slots":-3})"}) {
      bodies.push_back(join({address, other_info, status}));
    }
    bodies.push_back(join({address,
                           R"("info":{"service":"s)" + std::string("\xff") +
                               R"(","version":"v1","zone":"z","slots":51})",
                           status}));
    for (const char* other_status :
         {R"("status":[])", R"("status":{"seq":4,"cold_time":"0ms"})",
          R"("status":{"state":"ready","cold_time":"0ms"})",
          R"("status":{"state":"ready","seq":4})",
          R"("status":{"state":"ready","seq":4,"cold_time":7})",
          R"("status":{"state":"ready","seq":4,"cold_time":"soon"})",
          R"("status":{"state":"ready","seq":"4","cold_time":"0ms"})",
          R"("status":{"state":7,"seq":4,"cold_time":"0ms"})",
          R"("status":{"state":"asleep","seq":4,"cold_time":"0ms"})"}) {
      bodies.push_back(join({address, info, other_status}));
    }
    for (const std::string& body : bodies) {
      INFO(body);
      CHECK(std::holds_alternative<sidecar::Unusable>(
          dialect.decode_announcement(MakeHeartbeat(body))));
    }
  }
  SECTION("a deregistration needs no body") {
    Request deregistration(io::http::Verb::post, "/v1/instances/i-1/deregister",
                           11);
    const auto decoded = std::get<sidecar::Announcement>(
        dialect.decode_announcement(deregistration));
    CHECK(decoded.state == sidecar::TargetState::kGone);
  }
}

TEST_CASE("The operators' manifest is decoded", "[platform]") {
  const auto dialect = platform::MakeDialect();
  const auto decoded =
      std::get<core::manifest::Manifest>(dialect.decode_manifest(kManifest));
  CHECK(decoded.version == 7);
  REQUIRE(decoded.routes.size() == 4);
  CHECK(decoded.routes[0].is_idempotent);
  CHECK(decoded.routes[0].latency_target == milliseconds(1500));
  CHECK(decoded.routes[0].destinations.size() == 2);
  CHECK_FALSE(decoded.routes[1].is_idempotent);
  CHECK(decoded.routes[1].allows_anonymous);
  CHECK(decoded.routes[1].destinations ==
        std::vector<core::manifest::Destination>{{"u", 1}});
  CHECK(decoded.accounts ==
        std::vector<core::manifest::Account>{{.name = "club",
                                              .keys = {"k1", "k2"},
                                              .priority = 1,
                                              .rate_per_second = 63,
                                              .burst = 64}});
  CHECK(decoded.limits.idle_timeout == std::chrono::seconds(15));

  SECTION("a service may state how its cold targets are to be treated") {
    const auto service = [&](const std::string& cold, const std::string& rate) {
      const std::string table =
          R"({"version":"r1","routes":{"columns":[],"rows":[]},"services":)"
          R"({"columns":["name","cold","coldPerS"],"rows":[["s",)" +
          cold + "," + rate + "]]}}";
      return std::get<core::manifest::Manifest>(dialect.decode_manifest(table))
          .services.at(0);
    };
    CHECK(service(R"("3s")", "17.5").cold_duration == std::chrono::seconds(3));
    CHECK(service(R"("3s")", "17.5").cold_rate_per_second == 17.5);
    CHECK(service("null", "null").cold_duration == milliseconds(0));
    for (const std::string none : {"null", "0", "-3", R"("many")"}) {
      CHECK(service(R"("3s")", none).cold_rate_per_second == 0);
    }
  }
  SECTION("routes and accounts have homes where they name regions") {
    CHECK(decoded.routes[0].homes.empty());
    CHECK(decoded.accounts[0].homes.empty());
    const auto with_homes =
        std::get<core::manifest::Manifest>(dialect.decode_manifest(
            R"({"version":"r1","routes":{"columns":["host","pathPrefix",
"allowedRegions"],"rows":[["h","/",["north","south"]],["h","/x/",null]]},
"services":{"columns":[],"rows":[]},"tenants":{"columns":["name",
"allowedRegions"],"rows":[["club",["north"]]]}})"));
    CHECK(with_homes.routes[0].homes ==
          std::vector<std::string>{"north", "south"});
    CHECK(with_homes.routes[1].homes.empty());
    CHECK(with_homes.accounts[0].homes == std::vector<std::string>{"north"});
  }
  SECTION("uploads run at most once and have large bodies") {
    CHECK_FALSE(decoded.routes[2].is_idempotent);
    CHECK(decoded.routes[2].has_large_bodies);
  }
  SECTION("requests of an unknown kind run at most once") {
    CHECK_FALSE(decoded.routes[3].is_idempotent);
    CHECK_FALSE(decoded.routes[3].has_large_bodies);
  }
  SECTION("a truncated manifest is rejected") {
    const std::string document(kManifest);
    for (std::size_t length = 0; length < document.size(); length += 7) {
      CHECK(std::holds_alternative<sidecar::Unusable>(dialect.decode_manifest(
          std::string_view(document).substr(0, length))));
    }
  }
}

TEST_CASE("No package uses the platform's names; only the adapter does",
          "[platform]") {
  const std::regex names(
      "Caller-Service|Expected-Instance|Not-Executed|Response-Signature|"
      "heartbeatAddr|log-append|allowedRegions|"
      "log-newest|log-read\\?|keyed\\.op|weightedClusters|pathPrefix|Deadline-"
      "Ms|"
      "Tenant-Id|apiKeys|"
      "ratePerS|evacuate/|Store-Era|/v1/readiness|/v1/instances|/v1/log-");
  std::vector<std::string> found;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(
           std::string(kSourceDir) + "/packages")) {
    const auto extension = entry.path().extension();
    if (extension != ".h" && extension != ".cpp" && extension != ".proto") {
      continue;
    }
    std::smatch match;
    const std::string text = ReadFile(entry.path());
    if (std::regex_search(text, match, names)) {
      found.push_back(entry.path().string() + ": " + match.str());
    }
  }
  CHECK(found.empty());
}

// Renders the sections of a template: those of `present` once, no others.
std::string RenderSections(std::string text,
                           const std::set<std::string>& present) {
  const std::regex section(R"(\{\{#([^}]+)\}\}([\s\S]*?)\{\{/\1\}\})");
  std::smatch match;
  while (std::regex_search(text, match, section)) {
    const std::string inner = present.contains(match[1]) ? match[2].str() : "";
    text = match.prefix().str() + inner + match.suffix().str();
  }
  return text;
}

TEST_CASE("The settings template yields valid settings", "[platform]") {
  const bool has_evacuations = GENERATE(false, true);
  std::string text = RenderSections(
      ReadFile(std::string(kSourceDir) + "/deploy/sidecar.json.in"),
      has_evacuations ? std::set<std::string>{"bounds.evacuate"}
                      : std::set<std::string>{});
  const std::vector<std::pair<std::string, std::string>> values = {
      {"node|json", "\"vm-1\""},
      {"zone|json", "\"kochi-a\""},
      {"ip|json", "\"10.1.0.26\""},
      {"listen.outbound|json", "\"10.1.0.26:8548\""},
      {"listen.control|json", "\"10.1.0.26:8540\""},
      {"listen.ready|json", "\"10.1.0.26:8546\""},
      {"appAddr|json", "\"10.1.0.26:8547\""},
      {"service|json", "\"s\""},
      {"heartbeat|json", "\"1500ms\""},
      {"portRange.0", "7000"},
      {"portRange.1", "7015"},
      {"provider.address|json", "\"10.200.1.7:8545\""},
      {"zones|json", R"({"kochi-a":"kochi","kochi-b":"kochi"})"},
      {"bounds.revoke|json", "\"5000ms\""},
      {"bounds.grace|json", "\"6s\""},
      {"bounds.retryBudgetRatio|json", "0.2"},
      {"bounds.budgetMinRetries|json", "48"},
      {"bounds.budgetWindow|json", "\"10s\""},
      {"bounds.quotaWindow|json", "\"4s\""}};
  if (has_evacuations) {
    const std::string placeholder = "{{bounds.evacuate|json}}";
    const std::size_t at = text.find(placeholder);
    REQUIRE(at != std::string::npos);
    text.replace(at, placeholder.size(), "\"5000ms\"");
  }
  for (const auto& [name, value] : values) {
    const std::string placeholder = "{{" + name + "}}";
    const std::size_t at = text.find(placeholder);
    REQUIRE(at != std::string::npos);
    text.replace(at, placeholder.size(), value);
  }
  CHECK(sidecar::IsSidecarSettings(text));
  const auto parsed = sidecar::ParseSettings(text);
  REQUIRE(std::holds_alternative<sidecar::Settings>(parsed));
  CHECK(std::get<sidecar::Settings>(parsed).links_port == 7000);
  CHECK(std::get<sidecar::Settings>(parsed).advertised_links_port == 7000);
  CHECK(std::get<sidecar::Settings>(parsed).bounds.account_window ==
        std::chrono::seconds(4));
  CHECK(std::get<sidecar::Settings>(parsed).bounds.evacuation ==
        std::chrono::seconds(has_evacuations ? 5 : 0));
  CHECK(std::get<sidecar::Settings>(parsed).regions ==
        std::map<std::string, std::string>{{"kochi-a", "kochi"},
                                           {"kochi-b", "kochi"}});
  CHECK(std::get<sidecar::Settings>(parsed).admission.patient_calls);
  CHECK(std::get<sidecar::Settings>(parsed).admission.account_turns);
  CHECK(std::get<sidecar::Settings>(parsed).admission.returns);
  CHECK(std::get<sidecar::Settings>(parsed).admission.fast_entry);

  SECTION("an admission switch is off when left out, and true or false") {
    const std::size_t at = text.find("\"patient_calls\": true");
    REQUIRE(at != std::string::npos);
    text.replace(at, 22, "");
    CHECK_FALSE(std::get<sidecar::Settings>(sidecar::ParseSettings(text))
                    .admission.patient_calls);
    text.insert(at, "\"patient_calls\": 1,");
    const auto wrong = sidecar::ParseSettings(text);
    REQUIRE(std::holds_alternative<daemon::settings::Problems>(wrong));
    CHECK(std::get<daemon::settings::Problems>(wrong).front().path ==
          "sidecar.admission.patient_calls");
  }

  CHECK_FALSE(std::get<sidecar::Settings>(parsed).routes_by_cost);

  SECTION("routing by cost can be switched on") {
    constexpr std::string_view kOff = "\"by_cost\": false";
    const std::size_t at = text.find(kOff);
    REQUIRE(at != std::string::npos);
    text.replace(at, kOff.size(), "\"by_cost\": true");
    CHECK(std::get<sidecar::Settings>(sidecar::ParseSettings(text))
              .routes_by_cost);
  }
  SECTION("a switch that is no truth value is rejected") {
    const std::size_t at = text.find("false");
    REQUIRE(at != std::string::npos);
    text.replace(at, 5, "1");
    const auto wrong = sidecar::ParseSettings(text);
    REQUIRE(std::holds_alternative<daemon::settings::Problems>(wrong));
    CHECK(std::get<daemon::settings::Problems>(wrong).front().path ==
          "sidecar.routing.by_cost");
  }

  SECTION("an account window that is too short is rejected") {
    const std::size_t at = text.find("\"4s\"");
    REQUIRE(at != std::string::npos);
    text.replace(at, 4, "\"99ms\"");
    const auto wrong = sidecar::ParseSettings(text);
    REQUIRE(std::holds_alternative<daemon::settings::Problems>(wrong));
    CHECK(std::get<daemon::settings::Problems>(wrong).front().path ==
          "sidecar.bounds.account_window");
  }

  SECTION("names that no peer accepts are rejected") {
    for (const char* name : {"a\\nb", "a/b", "a\\u0000"}) {
      INFO(name);
      const auto wrong = sidecar::ParseSettings(
          R"({"sidecar":{"name":")" + std::string(name) +
          R"(","data_centre":")" + std::string(name) + R"("}})");
      const auto& problems = std::get<daemon::settings::Problems>(wrong);
      const auto names = [&](const std::string& path) {
        return std::any_of(
            problems.begin(), problems.end(),
            [&](const auto& problem) { return problem.path == path; });
      };
      CHECK(names("sidecar.name"));
      CHECK(names("sidecar.data_centre") ==
            (std::string(name).find('/') == std::string::npos));
    }
  }
  SECTION("all problems are reported together") {
    const auto wrong = sidecar::ParseSettings(
        R"({"sidecar":{"name":7,"links_port":0,"bounds":{"stop_grace":"6"}}})");
    const auto& problems = std::get<daemon::settings::Problems>(wrong);
    CHECK(problems.size() >= 10);
  }
}

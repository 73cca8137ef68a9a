// lycheewelld: the daemon beside a target.
#include <signal.h>
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "lycheewell/daemon/daemon.h"
#include "lycheewell/daemon/events/event_catalogue.h"
#include "lycheewell/daemon/settings/settings.h"
#include "lycheewell/peers/transport.h"
#include "lycheewell/platform/adapter.h"
#include "lycheewell/sidecar/settings.h"
#include "lycheewell/sidecar/sidecar.h"

namespace {

using lycheewell::daemon::Daemon;
namespace platform = lycheewell::platform;
namespace settings = lycheewell::daemon::settings;
namespace sidecar = lycheewell::sidecar;
namespace events = lycheewell::daemon::events;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

int PrintProblems(const settings::Problems& problems, const std::string& path) {
  std::cerr << path << ": " << problems.size() << " problem(s)\n";
  for (const settings::Problem& problem : problems) {
    const std::string field =
        problem.path.empty() ? "the file" : "'" + problem.path + "'";
    std::cerr << "  " << field << " " << problem.detail << "\n";
  }
  return kExitBadSettings;
}

int PrintEvents() {
  for (const events::CatalogueEntry& entry : events::Catalogue()) {
    std::cout << "LW" << static_cast<int>(entry.event) << " "
              << events::LevelName(entry.level) << " " << entry.name << "\n";
  }
  return kExitOk;
}

int PrintNewKeys() {
  const auto keys = lycheewell::peers::GenerateKeyPair();
  std::cout << "{\"public_key\": \"" << keys.public_key
            << "\", \"secret_key\": \"" << keys.secret_key << "\"}\n";
  return kExitOk;
}

// The first SIGTERM or SIGINT drains, the second ends at once.
void WatchSignals(sigset_t signals, Daemon& daemon) {
  std::thread([signals, &daemon] {
    int received = 0;
    sigwait(&signals, &received);
    daemon.BeginDrain();
    sigwait(&signals, &received);
    daemon.Stop();
  }).detach();
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

int RunSidecar(const std::string& path, const std::string& text,
               bool check_only) {
  auto parsed = sidecar::ParseSettings(text);
  if (const auto* problems = std::get_if<settings::Problems>(&parsed)) {
    return PrintProblems(*problems, path);
  }
  if (check_only) {
    std::cout << path << ": the settings are valid\n";
    return kExitOk;
  }
  try {
    sidecar::RunSidecar({.settings = std::get<sidecar::Settings>(parsed),
                         .settings_path = path,
                         .dialect = platform::MakeDialect(),
                         .make_store = platform::MakeStore});
  } catch (const std::exception& problem) {
    std::cerr << "lycheewelld cannot run: " << problem.what() << "\n";
    return kExitFailed;
  }
  return kExitOk;
}

int RunDaemon(settings::Settings checked) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  try {
    Daemon daemon(std::move(checked));
    WatchSignals(signals, daemon);
    daemon.Run();
  } catch (const std::exception& problem) {
    std::cerr << "lycheewelld cannot run: " << problem.what() << "\n";
    return kExitFailed;
  }
  return kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command("lycheewelld: the daemon beside a target", ' ',
                           "0.1.0");
    TCLAP::ValueArg<std::string> path_argument(
        "s", "settings", "the settings file (JSON with comments)", false, "",
        "file", command);
    TCLAP::SwitchArg check_argument("c", "check-settings",
                                    "check the settings and exit", command);
    TCLAP::SwitchArg events_argument("", "print-events",
                                     "print the event catalogue", command);
    TCLAP::SwitchArg keys_argument("", "generate-keys",
                                   "print a new key pair for a fleet", command);
    command.parse(argc, argv);
    if (events_argument.getValue()) {
      return PrintEvents();
    }
    if (keys_argument.getValue()) {
      return PrintNewKeys();
    }
    std::string path = path_argument.getValue();
    if (const char* from_platform = std::getenv(platform::kSettingsVariable);
        path.empty() && from_platform != nullptr) {
      path = from_platform;
    }
    if (path.empty()) {
      std::cerr << "lycheewelld: --settings FILE is needed; see --help\n";
      return kExitBadSettings;
    }
    if (const std::string text = ReadFile(path);
        sidecar::IsSidecarSettings(text)) {
      return RunSidecar(path, text, check_argument.getValue());
    }
    auto loaded = settings::LoadSettings(path);
    if (const auto* problems = std::get_if<settings::Problems>(&loaded)) {
      return PrintProblems(*problems, path);
    }
    if (check_argument.getValue()) {
      std::cout << path << ": the settings are valid\n";
      return kExitOk;
    }
    return RunDaemon(std::get<settings::Settings>(std::move(loaded)));
  } catch (const TCLAP::ArgException& problem) {
    std::cerr << problem.error() << " " << problem.argId() << "\n";
    return kExitBadSettings;
  }
}

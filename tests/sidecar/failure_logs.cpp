// Prints the ends of the daemons' logs when a check fails: a failure that
// occurs once can be traced from the output of the run.
#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>
#include <string>
#include <thread>

#include "harness/sidecar_vm.h"

namespace {
using lycheewell::harness::SidecarVm;

constexpr int kPrintedLines = 40;
// Daemons write their logs every 250 ms.
constexpr std::chrono::milliseconds kFlushTime{300};

std::string LastLines(const std::string& text, int count) {
  std::size_t begin = text.size();
  while (begin > 0 && count >= 0) {
    --begin;
    count -= text[begin] == '\n' ? 1 : 0;
  }
  return text.substr(begin);
}

class FailureLogs : public Catch::TestEventListenerBase {
 public:
  using TestEventListenerBase::TestEventListenerBase;

  bool assertionEnded(const Catch::AssertionStats& stats) override {
    if (!stats.assertionResult.isOk() && !SidecarVm::All().empty()) {
      std::this_thread::sleep_for(kFlushTime);
      for (SidecarVm* vm : SidecarVm::All()) {
        std::cerr << "log of " << vm->name << " at the failed check:"
                  << LastLines(vm->Log(), kPrintedLines) << std::endl;
      }
    }
    return true;
  }
};

}  // namespace

CATCH_REGISTER_LISTENER(FailureLogs)

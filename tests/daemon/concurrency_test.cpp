// The worker pool's shared tables and waits, run under ThreadSanitizer in CI.
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "lycheewell/daemon/tables/configuration_table.h"
#include "lycheewell/daemon/tables/guarded.h"
#include "lycheewell/io/async/cancellation.h"
#include "lycheewell/io/async/waiter.h"

namespace {

using namespace lycheewell;  // NOLINT

constexpr int kThreads = 4;

void RunThreads(const std::function<void(int)>& work) {
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int index = 0; index < kThreads; ++index) {
    threads.emplace_back([&work, index] { work(index); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

TEST_CASE("workers share tables", "[concurrency]") {
  SECTION("a guarded value loses no update") {
    daemon::tables::Guarded<int> value(0);
    RunThreads([&](int) {
      for (int round = 0; round < 1000; ++round) {
        ++*value.Lock();
      }
    });
    CHECK(*value.Lock() == 4000);
  }
  SECTION("readers see whole configurations while records are folded") {
    daemon::tables::ConfigurationTable table;
    constexpr core::Offset kRecords = 200;
    std::atomic<int> torn_views = 0;  // Catch2's checks are not thread-safe
    RunThreads([&](int index) {
      for (core::Offset offset = 0; offset < kRecords; ++offset) {
        if (index == 0) {
          const std::string id = "d" + std::to_string(offset);
          table.Fold({{offset, core::configuration::EncodeRecord(
                                   core::configuration::MemberJoined{
                                       {.daemon = {id, 1}}})}});
        } else {
          const auto view = table.view();
          const auto& state = view->state();
          torn_views += state.members.size() == state.next_offset ? 0 : 1;
          table.RecordsFrom(offset, 10);
        }
      }
    });
    CHECK(torn_views == 0);
    CHECK(table.next() == kRecords);
  }
}

TEST_CASE("a wait gets its value from any thread, once", "[concurrency]") {
  boost::asio::io_context context;
  std::atomic<int> delivered = 0;
  std::atomic<int> timed_out = 0;
  constexpr int kWaits = 200;
  std::vector<std::shared_ptr<io::async::Waiter<int>>> waiters;
  for (int index = 0; index < kWaits; ++index) {
    waiters.push_back(
        std::make_shared<io::async::Waiter<int>>(context.get_executor()));
    const auto wait = [&, waiter = waiters.back(),
                       never =
                           index % 10 == 0]() -> boost::asio::awaitable<void> {
      const auto value = co_await waiter->Wait(
          never ? std::chrono::milliseconds(1) : std::chrono::seconds(20));
      (value ? delivered : timed_out) += 1;
    };
    boost::asio::co_spawn(context, wait, boost::asio::detached);
  }
  std::thread deliverer([&] {
    for (int index = 0; index < kWaits; ++index) {
      if (index % 10 != 0) {
        waiters[static_cast<std::size_t>(index)]->Deliver(index);
        waiters[static_cast<std::size_t>(index)]->Deliver(-1);
      }
    }
  });
  RunThreads([&](int) { context.run(); });
  deliverer.join();
  CHECK(delivered == kWaits * 9 / 10);
  CHECK(timed_out == kWaits / 10);
}

TEST_CASE("a cancellation calls each callback once", "[concurrency]") {
  for (int round = 0; round < 100; ++round) {
    auto cancellation = std::make_shared<io::async::Cancellation>();
    std::atomic<int> called = 0;
    RunThreads([&](int index) {
      if (index == 0) {
        cancellation->Cancel();
      } else {
        cancellation->AddCallback([&] { ++called; });
      }
    });
    CHECK(called == kThreads - 1);
  }
}

}  // namespace

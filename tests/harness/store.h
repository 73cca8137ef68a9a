// Stand-in for the platform's store: keyed topics with long-polling reads.
#ifndef LYCHEEWELL_TESTS_HARNESS_STORE_H_
#define LYCHEEWELL_TESTS_HARNESS_STORE_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "lycheewell/io/http/server.h"

namespace lycheewell::harness {

std::string LoopbackAddress(int port);

// Runs an HTTP server with the given handler on its own thread.
class FakeServer {
 public:
  FakeServer(int port, io::http::Handler handler);
  ~FakeServer();

 private:
  boost::asio::io_context context;
  io::http::Server server;
  std::thread thread;
};

enum class StoreFault {
  kNone,
  kDown,           // answers 503
  kSilent,         // does not answer while the fault lasts
  kSlow,           // answers late
  kLostAnswers,    // executes calls and closes the connection
  kMalformedName,  // answers with a field whose name holds a blank
  kBlankLine,      // answers with a line that begins with a blank
  kCutAnswers      // closes the connection within each answer
};

class Store {
 public:
  explicit Store(int port);

  // Commands.

  void PutManifest(const std::string& document);
  // Writes a record of the daemons' topic.
  void PutFleetRecord(const std::string& key, const std::string& value);
  // The operator evacuates a data centre or takes that back.
  void Evacuate(const std::string& data_centre);
  void TakeBack(const std::string& data_centre);

  // Serves at another address, too, with faults of its own: the daemons that
  // use it are turned away while the store serves the others. The reference
  // holds as long as the store.
  std::atomic<StoreFault>& OpenDoor(int port);

  std::atomic<bool> is_down = false;
  std::atomic<StoreFault> fault = StoreFault::kNone;

 private:
  using CancellationPointer = io::async::CancellationPointer;

  struct Topic {
    std::map<std::string, std::string> newest;
    std::vector<std::string> records;  // with length prefixes
  };

  static std::string BigEndian(std::uint64_t value, std::size_t size);
  void Append(const std::string& topic, const std::string& key,
              const std::string& value);
  struct Door {
    std::atomic<StoreFault> fault = StoreFault::kNone;
    std::optional<FakeServer> server;
  };

  boost::asio::awaitable<std::optional<io::http::Response>> Answer(
      io::http::Request request, const std::atomic<StoreFault>& fault);
  boost::asio::awaitable<std::optional<io::http::Response>> Execute(
      io::http::Request request);
  std::uint64_t EndOf(const std::string& topic);
  std::string Newest(const std::string& topic);
  std::string Records(const std::string& topic, std::size_t from);

  std::mutex mutex;
  std::map<std::string, Topic> topics;
  FakeServer fake_server;
  std::deque<Door> doors;
};

}  // namespace lycheewell::harness

#endif  // LYCHEEWELL_TESTS_HARNESS_STORE_H_

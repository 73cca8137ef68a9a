// A blocking HTTP caller for tests. One object is one connection.
#ifndef LYCHEEWELL_TESTS_HARNESS_CALLER_H_
#define LYCHEEWELL_TESTS_HARNESS_CALLER_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <map>
#include <optional>
#include <string>

#include "lycheewell/io/http/message.h"

namespace lycheewell::harness {

struct CallerRequest {
  std::string method = "GET";
  std::string target = "/";
  std::string key;  // empty: none is sent
  std::string idempotency_key;
  std::string body;
  std::map<std::string, std::string> headers;
};

// What the caller was told. `status` 0: the connection ended without an answer.
struct CallerAnswer {
  int status = 0;
  std::string outcome;
  std::string body;
  std::map<std::string, std::string> headers;
};

class Caller {
 public:
  explicit Caller(std::string address);

  // Commands.

  CallerAnswer Send(const CallerRequest& request);

  // Sends raw bytes and reads until the server closes or `quiet` passes.
  std::string SendRaw(const std::string& bytes,
                      std::chrono::milliseconds quiet);

  // Sends the request without waiting for the answer.
  void SendOnly(const CallerRequest& request);

  // Closes the connection.
  void Leave() { this->stream.reset(); }

 private:
  bool Connect();

  std::string address;
  boost::asio::io_context context;
  std::optional<boost::beast::tcp_stream> stream;
  boost::beast::flat_buffer buffer;
};

// One request on a connection of its own.
CallerAnswer CallOnce(const std::string& address, const CallerRequest& request);

}  // namespace lycheewell::harness

#endif  // LYCHEEWELL_TESTS_HARNESS_CALLER_H_

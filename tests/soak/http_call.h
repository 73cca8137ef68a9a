// A blocking HTTP call of a stand-in.
#ifndef LYCHEEWELL_TESTS_SOAK_HTTP_CALL_H_
#define LYCHEEWELL_TESTS_SOAK_HTTP_CALL_H_

#include <chrono>
#include <memory>
#include <string>

namespace lycheewell::soak {

struct HttpCall {
  std::string method = "GET";
  std::string target = "/";
  std::string id;
  std::string key;
  std::string body;
  std::chrono::milliseconds limit{1'000};
};

struct HttpAnswer {
  unsigned status = 0;  // 0: no whole answer
  std::string body;
};

// A kept connection to a port on loopback.
class HttpConnection {
 public:
  explicit HttpConnection(int port);
  ~HttpConnection();

  // Connects when there is no open connection.
  HttpAnswer Send(const HttpCall& call);

 private:
  struct State;
  std::unique_ptr<State> state;
  int port;
};

}  // namespace lycheewell::soak

#endif  // LYCHEEWELL_TESTS_SOAK_HTTP_CALL_H_

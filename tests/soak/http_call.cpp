#include "soak/http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace lycheewell::soak {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

struct HttpConnection::State {
  asio::io_context context;
  beast::tcp_stream stream{this->context};
  beast::flat_buffer buffer;

  // Runs one asynchronous step to its end, which its time limit bounds.
  template <typename Start>
  beast::error_code Step(const Start& start) {
    beast::error_code result;
    start([&](beast::error_code error, auto&&...) { result = error; });
    this->context.restart();
    this->context.run();
    return result;
  }
};

HttpConnection::HttpConnection(int new_port) : port(new_port) {}

HttpConnection::~HttpConnection() = default;

HttpAnswer HttpConnection::Send(const HttpCall& call) {
  const bool is_new = this->state == nullptr;
  if (is_new) {
    this->state = std::make_unique<State>();
  }
  State& open = *this->state;
  open.stream.expires_after(call.limit);
  beast::error_code error;
  if (is_new) {
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address("127.0.0.1"),
        static_cast<std::uint16_t>(this->port));
    error = open.Step([&](auto done) {
      open.stream.async_connect(endpoint, std::move(done));
    });
  }
  http::request<http::string_body> request;
  request.method_string(call.method);
  request.target(call.target);
  request.version(11);
  request.set("Host", "a.example");
  request.set("Request-Id", call.id);
  request.set("Deadline-Ms", std::to_string(call.limit.count()));
  if (!call.key.empty()) {
    request.set("Authorization", "Bearer " + call.key);
  }
  request.body() = call.body;
  request.prepare_payload();
  if (!error) {
    error = open.Step([&](auto done) {
      http::async_write(open.stream, request, std::move(done));
    });
  }
  http::response<http::string_body> response;
  if (!error) {
    error = open.Step([&](auto done) {
      http::async_read(open.stream, open.buffer, response, std::move(done));
    });
  }
  if (error) {
    this->state.reset();
    return {};
  }
  HttpAnswer answer{.status = response.result_int(), .body = response.body()};
  if (!response.keep_alive()) {
    this->state.reset();
  }
  return answer;
}

}  // namespace lycheewell::soak

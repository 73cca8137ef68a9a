#include "harness/caller.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "lycheewell/io/http/address.h"

namespace lycheewell::harness {
namespace beast = boost::beast;
namespace http = io::http;

namespace {

constexpr unsigned kHttpVersion = 11;

http::Request MakeRequest(const CallerRequest& wish,
                          const std::string& address) {
  http::Request request;
  request.version(kHttpVersion);
  request.method_string(wish.method);
  request.target(wish.target);
  request.set(http::Field::host, address);
  if (!wish.key.empty()) {
    request.set(http::Field::authorization, "Bearer " + wish.key);
  }
  if (!wish.idempotency_key.empty()) {
    request.set("Idempotency-Key", wish.idempotency_key);
  }
  for (const auto& [name, value] : wish.headers) {
    request.set(name, value);
  }
  request.body() = wish.body;
  request.prepare_payload();
  return request;
}

}  // namespace

Caller::Caller(std::string new_address) : address(std::move(new_address)) {}

bool Caller::Connect() {
  if (this->stream) {
    return true;
  }
  this->stream.emplace(this->context);
  this->buffer.clear();
  boost::system::error_code error;
  this->stream->connect(http::ParseEndpoint(this->address), error);
  if (error) {
    this->stream.reset();
    return false;
  }
  this->stream->socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                    error);
  return true;
}

CallerAnswer Caller::Send(const CallerRequest& wish) {
  if (!this->Connect()) {
    return {};
  }
  const http::Request request = MakeRequest(wish, this->address);
  boost::system::error_code error;
  beast::http::write(*this->stream, request, error);
  http::Response response;
  if (!error) {
    beast::http::read(*this->stream, this->buffer, response, error);
  }
  if (error) {
    this->stream.reset();
    return {};
  }
  CallerAnswer answer{.status = static_cast<int>(response.result_int()),
                      .body = response.body()};
  for (const auto& field : response) {
    answer.headers[std::string(http::View(field.name_string()))] =
        std::string(http::View(field.value()));
  }
  answer.outcome = answer.headers["Lycheewell-Outcome"];
  if (!response.keep_alive()) {
    this->stream.reset();
  }
  return answer;
}

std::string Caller::SendRaw(const std::string& bytes,
                            std::chrono::milliseconds quiet) {
  if (!this->Connect()) {
    return {};
  }
  boost::system::error_code error;
  boost::asio::write(this->stream->socket(), boost::asio::buffer(bytes), error);
  std::string received;
  bool is_open = true;
  while (is_open) {
    std::array<char, 4096> chunk{};
    is_open = false;
    this->stream->expires_after(quiet);
    this->stream->async_read_some(
        boost::asio::buffer(chunk),
        [&](const boost::system::error_code& read_error, std::size_t count) {
          is_open = !read_error;
          received.append(chunk.data(), count);
        });
    this->context.restart();
    this->context.run();
  }
  this->stream.reset();
  return received;
}

void Caller::SendOnly(const CallerRequest& wish) {
  if (!this->Connect()) {
    return;
  }
  boost::system::error_code error;
  beast::http::write(*this->stream, MakeRequest(wish, this->address), error);
}

CallerAnswer CallOnce(const std::string& address,
                      const CallerRequest& request) {
  Caller caller(address);
  return caller.Send(request);
}

}  // namespace lycheewell::harness

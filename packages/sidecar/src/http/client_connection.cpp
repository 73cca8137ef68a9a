#include "lycheewell/sidecar/http/client_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

#include "lycheewell/io/http/parse_response.h"
#include "lycheewell/io/http/status.h"
#include "lycheewell/sidecar/clock.h"
#include "lycheewell/sidecar/http/socket_options.h"

namespace lycheewell::sidecar::http {
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

// Buffer of one read. Most responses fit.
constexpr std::size_t kReadSize = 8 * 1024;

// Interim responses, and responses to earlier requests, that are skipped while
// waiting for one response.
constexpr int kMaxSkippedResponses = 16;

// Returns the N of "Keep-Alive: timeout=N".
std::optional<std::chrono::seconds> ParseKeepAlive(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t found = value.find(kName);
  if (found == std::string_view::npos) {
    return std::nullopt;
  }
  int seconds = 0;
  const char* begin = value.data() + found + kName.size();
  const auto [end, error] =
      std::from_chars(begin, value.data() + value.size(), seconds);
  if (error != std::errc() || end == begin || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

ClientConnection::ClientConnection(asio::io_context& context,
                                   tcp::endpoint new_endpoint,
                                   ByteBudgetPointer body_budget)
    : socket(context),
      endpoint(std::move(new_endpoint)),
      body_allowance(std::move(body_budget)) {}

bool ClientConnection::is_usable() const {
  return this->connected && !this->closed && !this->current && !this->writing &&
         !this->must_close && this->buffer.size() == 0;
}

void ClientConnection::Start(Exchange exchange) {
  this->current.emplace(std::move(exchange));
  this->outgoing =
      std::make_shared<std::string>(std::move(this->current->message));
  this->sent_any = false;
  this->skipped_responses = 0;
  if (this->connected) {
    this->Write();
  } else {
    this->Connect();
  }
}

void ClientConnection::Connect() {
  boost::system::error_code error;
  this->socket.open(tcp::v4(), error);
  if (error) {  // for example, no file descriptors are left
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this(), error] {
                 self->Fail(error.message());
               });
    return;
  }
  SetSocketOptions(this->socket);
  this->socket.async_connect(
      this->endpoint, [self = this->shared_from_this()](
                          const boost::system::error_code& connect_error) {
        if (self->closed) {
          return;
        }
        if (connect_error) {
          self->Fail(connect_error.message(),
                     connect_error == asio::error::connection_refused);
          return;
        }
        self->connected = true;
        self->Read();
        self->Write();
      });
}

void ClientConnection::Write() {
  this->writing = true;
  this->sent_any = true;
  if (this->current->on_written) {
    this->current->on_written();
  }
  asio::async_write(this->socket, asio::buffer(*this->outgoing),
                    [self = this->shared_from_this(), message = this->outgoing](
                        const boost::system::error_code& error, std::size_t) {
                      self->writing = false;
                      if (error && !self->closed) {
                        // The response may still arrive before the close.
                        self->must_close = true;
                        self->is_broken = error != asio::error::broken_pipe;
                      }
                      if (self->must_close && !self->current) {
                        self->CloseSocket();
                      }
                    });
}

void ClientConnection::Read() {
  this->socket.async_read_some(
      this->buffer.prepare(kReadSize),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t size) {
        if (self->closed) {
          return;
        }
        self->buffer.commit(size);
        if (error && error != asio::error::eof) {
          self->Fail(error.message());
          return;
        }
        if (error) {
          self->must_close = true;
          // The completion of a write that failed first may still be queued.
          asio::post(self->socket.get_executor(),
                     [self] { self->OnEndOfStream(); });
          return;
        }
        constexpr bool kAtEnd = false;
        self->Consume(kAtEnd);
        self->CloseOnStrayBytes();
        if (!self->closed) {
          self->Read();
        }
      });
}

void ClientConnection::OnEndOfStream() {
  if (this->closed) {
    return;
  }
  this->Consume(!this->is_broken);
  this->Fail(this->is_broken ? "the connection broke"
                             : "the connection was closed");
}

void ClientConnection::CloseOnStrayBytes() {
  if (!this->current && this->buffer.size() > 0) {
    this->CloseSocket();
  }
}

void ClientConnection::Consume(bool at_end) {
  while (this->current && !this->closed) {
    if (!this->parser) {
      if (this->buffer.size() == 0) {
        return;
      }
      this->parser.emplace();
      this->parser->skip(this->current->is_head);
      this->parser->header_limit(kMaxResponseHeaderBytes);
      this->parser->body_limit(kMaxResponseBodyBytes);
    }
    beast::error_code error =
        io::http::ParseResponse(*this->parser, this->buffer);
    if (!error && at_end && !this->parser->is_done() &&
        this->parser->is_header_done() && this->parser->need_eof()) {
      this->parser->put_eof(error);
    }
    if (error) {
      this->Fail("unreadable answer: " + error.message());
      return;
    }
    if (this->parser->is_header_done()) {
      const unsigned status = this->parser->get().result_int();
      if (io::http::KindOf(status) == io::http::StatusKind::kNone) {
        this->Fail("answer with status " + std::to_string(status));
        return;
      }
    }
    if (!this->body_allowance.Grow(this->parser->get().body().size())) {
      this->Fail("no memory left for the answer's body");
      return;
    }
    if (!this->parser->is_done()) {
      // What the parser leaves in the buffer is an incomplete line.
      if (this->buffer.size() > kMaxResponseHeaderBytes) {
        this->Fail("unreadable answer: line too long");
      }
      return;
    }
    this->CompleteResponse();
  }
}

void ClientConnection::CompleteResponse() {
  const bool ends_with_connection = this->parser->need_eof();
  io::http::Response response = this->parser->release();
  this->parser.reset();
  this->body_allowance.Reset();
  const bool is_interim =
      io::http::KindOf(response.result_int()) == io::http::StatusKind::kInterim;
  const bool is_late = !is_interim && this->current->is_matching_response &&
                       !this->current->is_matching_response(response);
  if (is_interim || is_late) {
    if (++this->skipped_responses > kMaxSkippedResponses) {
      this->Fail("too many answers that belong to other requests");
    }
    return;
  }
  if (!response.keep_alive() || ends_with_connection) {
    this->must_close = true;
  }
  const auto keep_alive = response.find(io::http::Field::keep_alive);
  if (keep_alive != response.end()) {
    this->idle_timeout = ParseKeepAlive(io::http::View(keep_alive->value()));
  }
  this->became_idle_at = Now();
  const auto done = std::move(this->current->done);
  this->current.reset();
  // The target may read the rest of the request after its answer, but no other
  // request may follow on this connection.
  this->must_close = this->must_close || this->writing;
  if (this->must_close && !this->writing) {
    this->CloseSocket();
  }
  this->CloseOnStrayBytes();
  done(std::move(response));
}

void ClientConnection::Fail(const std::string& detail,
                            bool is_connection_refused) {
  this->CloseSocket();
  if (!this->current) {
    return;
  }
  const auto done = std::move(this->current->done);
  this->current.reset();
  done(ExchangeProblem{.failure = this->sent_any ? ExchangeFailure::kBroken
                                                 : ExchangeFailure::kNotSent,
                       .detail = detail,
                       .is_connection_refused = is_connection_refused});
}

void ClientConnection::Abort() {
  if (this->current) {
    // A plain close would reach the target behind the rest of the request.
    boost::system::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  this->current.reset();
  this->CloseSocket();
}

void ClientConnection::CloseSocket() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->body_allowance.Reset();
  boost::system::error_code ignored;  // the socket is discarded in any case
  this->socket.close(ignored);
}

}  // namespace lycheewell::sidecar::http

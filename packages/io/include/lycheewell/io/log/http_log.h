// The log over HTTP:
//   POST /records                        body: the record; 201 {"offset": N}
//   GET  /records?from=&limit=&wait_ms=  200 {"first": F, "end": E,
//                                             "from": N, "records": [...]}
#ifndef LYCHEEWELL_IO_LOG_HTTP_LOG_H_
#define LYCHEEWELL_IO_LOG_HTTP_LOG_H_

#include <memory>
#include <string>

#include "lycheewell/io/http/client.h"
#include "lycheewell/io/log/log_service.h"

namespace lycheewell::io::log {

struct HttpLogOptions {
  std::string address;  // "host:port"
  std::chrono::milliseconds timeout = std::chrono::milliseconds(2000);
};

LogService MakeHttpLog(const std::shared_ptr<http::Client>& client,
                       HttpLogOptions options);

}  // namespace lycheewell::io::log

#endif  // LYCHEEWELL_IO_LOG_HTTP_LOG_H_

// Stand-ins for the platform's store, backends and clients, and real daemons,
// all on loopback addresses. Needs only the C++ library and Linux.
#ifndef LYCHEEWELL_REVIEW_STAGE_2_STAGE_H_
#define LYCHEEWELL_REVIEW_STAGE_2_STAGE_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Exit codes of a case.
constexpr int kRuleHeld = 0;
constexpr int kRuleBroken = 1;
constexpr int kCouldNotRun = 2;

struct CouldNotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline double Seconds(Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---------------------------------------------------------------------------
// The record of a case.

class Record {
 public:
  explicit Record(const std::string& path) : file(path), begin(Clock::now()) {}

  void Line(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ",
                  Seconds(Clock::now() - this->begin));
    this->file << time << text << "\n";
    this->file.flush();
  }
  double At(Clock::time_point when) const {
    return Seconds(when - this->begin);
  }

 private:
  std::mutex mutex;
  std::ofstream file;
  Clock::time_point begin;
};

// ---------------------------------------------------------------------------
// Sockets.

struct Address {
  std::string ip;
  int port = 0;

  std::string text() const {
    return this->ip + ":" + std::to_string(this->port);
  }
  sockaddr_in raw() const {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(static_cast<std::uint16_t>(this->port));
    inet_pton(AF_INET, this->ip.c_str(), &raw.sin_addr);
    return raw;
  }
};

class Socket {
 public:
  Socket() = default;
  explicit Socket(int new_fd) : fd(new_fd) {}
  Socket(Socket&& other) noexcept : fd(std::exchange(other.fd, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    std::swap(this->fd, other.fd);
    return *this;
  }
  ~Socket() { this->Close(); }

  // `receive_buffer`: 0 for the system's default.
  static Socket Connect(const Address& to, int receive_buffer = 0,
                        const std::string& from = "") {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (receive_buffer > 0) {
      setsockopt(socket.fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof receive_buffer);
    }
    if (!from.empty()) {
      const sockaddr_in local = Address{from, 0}.raw();
      (void)bind(socket.fd, reinterpret_cast<const sockaddr*>(&local),
                 sizeof local);
    }
    const sockaddr_in raw = to.raw();
    if (connect(socket.fd, reinterpret_cast<const sockaddr*>(&raw),
                sizeof raw) != 0) {
      socket.Close();
    }
    const int one = 1;
    setsockopt(socket.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return socket;
  }
  static Socket Listen(const Address& at) {
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int one = 1;
    setsockopt(socket.fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in raw = at.raw();
    if (bind(socket.fd, reinterpret_cast<const sockaddr*>(&raw), sizeof raw) !=
            0 ||
        listen(socket.fd, 1024) != 0) {
      throw CouldNotRun("cannot listen at " + at.text());
    }
    return socket;
  }

  bool is_open() const { return this->fd >= 0; }
  int handle() const { return this->fd; }
  void Close() {
    if (this->fd >= 0) {
      ::close(std::exchange(this->fd, -1));
    }
  }
  void Shutdown() const { ::shutdown(this->fd, SHUT_RDWR); }
  bool Write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t size =
          ::send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
  }
  // Bytes read; 0 at the end of the stream; -1 after an error or the limit.
  ssize_t Read(char* into, std::size_t size, Clock::time_point until) const {
    for (;;) {
      const auto left =
          std::chrono::duration_cast<milliseconds>(until - Clock::now());
      if (left.count() <= 0) {
        errno = ETIMEDOUT;
        return -1;
      }
      pollfd wanted{this->fd, POLLIN, 0};
      const int ready = ::poll(&wanted, 1, static_cast<int>(left.count()) + 1);
      if (ready < 0 && errno == EINTR) {
        continue;
      }
      if (ready == 0) {
        continue;
      }
      return ::recv(this->fd, into, size, 0);
    }
  }

 private:
  int fd = -1;
};

// ---------------------------------------------------------------------------
// HTTP.

struct Message {
  std::string start;  // request or status line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  Clock::time_point head_read_at;

  std::string Header(const std::string& name) const {
    for (const auto& [key, value] : this->headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string method() const {
    return this->start.substr(0, this->start.find(' '));
  }
  std::string target() const {
    const std::size_t first = this->start.find(' ') + 1;
    return this->start.substr(first, this->start.find(' ', first) - first);
  }
  int status() const {
    return this->start.size() < 12 ? 0 : std::atoi(this->start.c_str() + 9);
  }
};

// Reads messages from a connection that may carry many.
class Reader {
 public:
  explicit Reader(const Socket& new_socket) : socket(new_socket) {}

  // Nothing if the connection ends or the limit passes before a whole message.
  std::optional<Message> Next(Clock::time_point until) {
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->More(until)) {
        return std::nullopt;
      }
    }
    Message message;
    message.head_read_at = Clock::now();
    std::istringstream head(this->buffer.substr(0, end));
    std::string line;
    std::getline(head, line);
    message.start = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
      line = line.substr(0, line.find('\r'));
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t first = colon + 1;
        while (first < line.size() && line[first] == ' ') {
          ++first;
        }
        message.headers.emplace_back(line.substr(0, colon), line.substr(first));
      }
    }
    const std::size_t length =
        std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
    while (this->buffer.size() < end + 4 + length) {
      if (!this->More(until)) {
        return std::nullopt;
      }
    }
    message.body = this->buffer.substr(end + 4, length);
    this->buffer.erase(0, end + 4 + length);
    return message;
  }
  // What has arrived of a message that is not whole.
  std::size_t rest() const { return this->buffer.size(); }
  // 0, or the error that ended the connection.
  int error() const { return this->last_error; }

 private:
  bool More(Clock::time_point until) {
    char bytes[65536];
    const ssize_t size = this->socket.Read(bytes, sizeof bytes, until);
    if (size <= 0) {
      this->last_error = size < 0 ? errno : 0;
      return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
  }

  const Socket& socket;
  std::string buffer;
  int last_error = 0;
};

// A server with a thread for each connection.
class HttpServer {
 public:
  // Writes its answer to the connection; returns whether to keep it open.
  using Handler = std::function<bool(const Message&, const Socket&)>;

  HttpServer(const Address& address, Handler new_handler)
      : handler(std::move(new_handler)), listener(Socket::Listen(address)) {
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  ~HttpServer() {
    this->has_ended = true;
    this->listener.Shutdown();
    this->acceptor.join();
    {
      const std::lock_guard lock(this->mutex);
      for (const int handle : this->open) {
        ::shutdown(handle, SHUT_RDWR);
      }
    }
    for (std::thread& worker : this->workers) {
      worker.join();
    }
  }
  bool ending() const { return this->has_ended; }

 private:
  void Accept() {
    while (!this->has_ended) {
      Socket socket(
          ::accept4(this->listener.handle(), nullptr, nullptr, SOCK_CLOEXEC));
      if (!socket.is_open()) {
        std::this_thread::sleep_for(milliseconds(5));
        continue;
      }
      const int one = 1;
      setsockopt(socket.handle(), IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      const std::lock_guard lock(this->mutex);
      this->open.push_back(socket.handle());
      this->workers.emplace_back(
          [this, held = std::make_shared<Socket>(std::move(socket))] {
            Reader reader(*held);
            while (!this->has_ended) {
              const auto request = reader.Next(Clock::now() + seconds(300));
              if (!request || !this->handler(*request, *held)) {
                break;
              }
            }
            const std::lock_guard guard(this->mutex);
            std::erase(this->open, held->handle());
            held->Close();
          });
    }
  }

  Handler handler;
  Socket listener;
  std::atomic<bool> has_ended = false;
  std::mutex mutex;
  std::vector<int> open;
  std::vector<std::thread> workers;
  std::thread acceptor;
};

inline std::string Answer(int status, const std::string& headers,
                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---------------------------------------------------------------------------
// The platform's store: keyed topics, as the users' pages describe them.

class Store {
 public:
  explicit Store(const Address& new_address) : address(new_address) {
    this->server = std::make_unique<HttpServer>(
        new_address, [this](const Message& request, const Socket& socket) {
          return this->Serve(request, socket);
        });
  }
  ~Store() {
    this->has_ended = true;
    this->changed.notify_all();
  }

  // What the operator writes.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value) {
    const std::lock_guard lock(this->mutex);
    this->Append(topic, key, value);
  }

  // That topic is down: calls for it get 503. The empty name: none is.
  void SetDown(const std::string& topic) {
    const std::lock_guard lock(this->mutex);
    this->down_topic = topic;
  }

  const Address address;

 private:
  struct Topic {
    std::map<std::string, std::pair<std::string, std::size_t>> newest;
    std::vector<std::string> records;
  };

  static std::string BigEndian(std::uint64_t value, int size) {
    std::string bytes;
    for (int i = size; i-- > 0;) {
      bytes += static_cast<char>((value >> (8 * i)) & 0xffU);
    }
    return bytes;
  }
  static std::string Base64(const std::string& bytes) {
    static const char* const kDigits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
      std::uint32_t group = 0;
      for (std::size_t k = 0; k < 3; ++k) {
        group = group << 8U |
                (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k])
                                      : 0U);
      }
      for (std::size_t k = 0; k < 4; ++k) {
        text +=
            i + k <= bytes.size() ? kDigits[group >> (18 - 6 * k) & 63U] : '=';
      }
    }
    return text;
  }
  static std::string Query(const std::string& target, const std::string& name) {
    std::size_t found = target.find('?');
    while (found != std::string::npos) {
      const std::size_t next = target.find('&', found + 1);
      const std::string pair = target.substr(
          found + 1,
          next == std::string::npos ? std::string::npos : next - found - 1);
      if (pair.starts_with(name + "=")) {
        return pair.substr(name.size() + 1);
      }
      found = next;
    }
    return "";
  }
  // With `mutex` held.
  void Append(const std::string& topic, const std::string& key,
              const std::string& value) {
    Topic& to = this->topics[topic];
    std::string record(1, static_cast<char>(key.size()));
    record += key + value;
    if (value.empty()) {
      to.newest.erase(key);
    } else {
      to.newest[key] = {value, to.records.size()};
    }
    to.records.push_back(BigEndian(record.size(), 4) + record);
    this->changed.notify_all();
  }

  bool Serve(const Message& request, const Socket& socket) {
    std::this_thread::sleep_for(milliseconds(4));
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    const std::string topic = Query(target, "topic");
    const std::string json = "Content-Type: application/json\r\n";
    std::unique_lock lock(this->mutex);
    if (!topic.empty() && topic == this->down_topic) {
      lock.unlock();
      return socket.Write(Answer(503, "", ""));
    }
    if (path == "/v1/log-append") {
      const std::size_t first = this->topics[topic].records.size();
      const std::string& body = request.body;
      for (std::size_t begin = 0; begin + 4 <= body.size();) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < 4; ++i) {
          size = size << 8U | static_cast<unsigned char>(body[begin + i]);
        }
        const std::string record = body.substr(begin + 4, size);
        const auto key = static_cast<unsigned char>(record.at(0));
        this->Append(topic, record.substr(1, key), record.substr(1 + key));
        begin += 4 + size;
      }
      const std::string answer =
          "{\"offset\":" + std::to_string(first) + ",\"endOffset\":" +
          std::to_string(this->topics[topic].records.size()) + "}";
      lock.unlock();
      return socket.Write(Answer(200, json, answer));
    }
    if (path == "/v1/log-newest") {
      std::string items;
      for (const auto& [key, record] : this->topics[topic].newest) {
        items += (items.empty() ? "" : ",");
        items += "{\"key\":\"" + key + "\",\"value\":\"" +
                 Base64(record.first) +
                 "\",\"offset\":" + std::to_string(record.second) + "}";
      }
      const std::string answer =
          "{\"items\":[" + items + "],\"hasMore\":false,\"endOffset\":" +
          std::to_string(this->topics[topic].records.size()) + "}";
      lock.unlock();
      return socket.Write(Answer(200, json, answer));
    }
    if (path == "/v1/log-read") {
      const std::size_t from =
          std::strtoul(Query(target, "from").c_str(), nullptr, 10);
      const auto until =
          Clock::now() +
          milliseconds(std::atoi(Query(target, "waitMs").c_str()));
      this->changed.wait_until(lock, until, [&] {
        return this->has_ended || this->topics[topic].records.size() > from;
      });
      const auto& records = this->topics[topic].records;
      std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
      for (std::size_t i = from; i < records.size(); ++i) {
        body += records[i];
      }
      lock.unlock();
      return socket.Write(
          Answer(200, "Content-Type: application/octet-stream\r\n", body));
    }
    lock.unlock();
    return socket.Write(Answer(404, "", ""));
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::atomic<bool> has_ended = false;
  std::string down_topic;
  std::map<std::string, Topic> topics;
  std::unique_ptr<HttpServer> server;
};

// ---------------------------------------------------------------------------
// Machines.

struct Ports {
  int outbound = 0, inbound = 0, ready = 0, control = 0, app = 0, store = 0;
  int first = 0;  // of the range for communication between daemons
};

// What a backend saw of one request.
struct Run {
  std::string id;
  std::string account;
  std::string target;
  std::string machine;
  Clock::time_point arrived_at;
  bool was_answered = false;  // the whole answer was handed to the connection
};

class Journal {
 public:
  void Add(const Run& run) {
    const std::lock_guard lock(this->mutex);
    this->all.push_back(run);
  }
  std::vector<Run> runs() {
    const std::lock_guard lock(this->mutex);
    return this->all;
  }

 private:
  std::mutex mutex;
  std::vector<Run> all;
};

// A backend that follows the users' pages. `body_size` and `work` may depend on
// the request.
struct BackendOptions {
  int slots = 200;
  std::function<std::size_t(const Message&)> body_size = [](const Message&) {
    return std::size_t{40};
  };
  std::function<milliseconds(const Message&)> work = [](const Message&) {
    return milliseconds(5);
  };
};

class Backend {
 public:
  Backend(std::string new_machine, std::string new_zone,
          std::string new_service, const Address& new_address,
          const Address& new_control, Journal& new_journal,
          BackendOptions new_options)
      : machine(std::move(new_machine)),
        zone(std::move(new_zone)),
        service(std::move(new_service)),
        address(new_address),
        control(new_control),
        journal(new_journal),
        options(std::move(new_options)),
        instance("i-" + machine),
        born(std::chrono::duration_cast<milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count()) {
    this->server = std::make_unique<HttpServer>(
        this->address, [this](const Message& request, const Socket& socket) {
          return this->Serve(request, socket);
        });
    this->reporter = std::thread([this] { this->Report(); });
  }
  ~Backend() {
    this->has_ended = true;
    this->reporter.join();
  }
  bool was_acknowledged() const { return this->acknowledged; }

 private:
  bool Serve(const Message& request, const Socket& socket) {
    const std::string id = request.Header("Request-Id");
    const std::string echo = "Request-Id: " + id + "\r\n";
    const std::string path = request.target();
    if (path == "/health") {
      return socket.Write(
          Answer(200, "Instance-Id: " + this->instance + "\r\n", ""));
    }
    const std::string expected = request.Header("Expected-Instance");
    if (!expected.empty() && expected != this->instance) {
      return socket.Write(Answer(421, echo + "Not-Executed: 1\r\n", ""));
    }
    if (id.empty()) {
      return socket.Write(Answer(400, "Not-Executed: 1\r\n", ""));
    }
    if (++this->running > this->options.slots) {
      --this->running;
      return socket.Write(Answer(503, echo + "Not-Executed: 1\r\n", ""));
    }
    Run run{.id = id,
            .account = request.Header("Tenant-Id"),
            .target = path,
            .machine = this->machine,
            .arrived_at = request.head_read_at};
    // The work stops at the time limit.
    const milliseconds work = this->options.work(request);
    const std::string limit = request.Header("Deadline-Ms");
    const milliseconds most =
        limit.empty() ? work : milliseconds(std::atoi(limit.c_str()));
    std::this_thread::sleep_for(std::min(work, most));
    --this->running;
    std::string body(this->options.body_size(request), 'b');
    run.was_answered = socket.Write(
        Answer(work > most ? 504 : 200,
               echo + "Response-Signature: " + std::to_string(body.size()) +
                   "." + id + "\r\n",
               body));
    this->journal.Add(run);
    return run.was_answered;
  }

  void Report() {
    Socket socket;
    std::optional<Reader> reader;
    auto next = Clock::now();
    for (int seq = 1; !this->has_ended; ++seq) {
      const std::string body =
          "{\"address\":\"" + this->address.text() +
          "\",\"born\":" + std::to_string(this->born) +
          ",\"info\":{\"service\":\"" + this->service +
          "\",\"version\":\"v1\",\"zone\":\"" + this->zone +
          "\",\"slots\":" + std::to_string(this->options.slots) +
          "},\"status\":{\"state\":\"ready\",\"seq\":" + std::to_string(seq) +
          ",\"cold_time\":\"0ms\"}}";
      if (!socket.is_open()) {
        socket = Socket::Connect(this->control, 0, this->address.ip);
        reader.emplace(socket);
      }
      bool is_read = false;
      if (socket.is_open() &&
          socket.Write("POST /v1/instances/" + this->instance +
                       "/heartbeat HTTP/1.1\r\nHost: " + this->control.text() +
                       "\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body)) {
        const auto answer = reader->Next(Clock::now() + seconds(1));
        is_read = answer.has_value();
        if (answer && answer->status() == 200) {
          this->acknowledged = true;
        }
        if (answer && answer->Header("Connection") == "close") {
          is_read = false;
        }
      }
      if (!is_read) {
        socket.Close();
      }
      // Retries soon after a failure, as a report that was not acknowledged.
      next = Clock::now() + (is_read ? milliseconds(1500) : milliseconds(300));
      while (!this->has_ended && Clock::now() < next) {
        std::this_thread::sleep_for(milliseconds(10));
      }
    }
  }

  const std::string machine, zone, service;
  const Address address, control;
  Journal& journal;
  const BackendOptions options;
  const std::string instance;
  const std::int64_t born;
  std::atomic<int> running = 0;
  std::atomic<bool> acknowledged = false;
  std::atomic<bool> has_ended = false;
  std::unique_ptr<HttpServer> server;
  std::thread reporter;
};

// ---------------------------------------------------------------------------
// The deployment.

struct MachineOptions {
  std::string zone;
  std::string service;
};

class Deployment {
 public:
  Deployment(const std::string& new_repository,
             const std::vector<MachineOptions>& new_machines,
             const BackendOptions& backend)
      : repository(new_repository), machines(new_machines) {
    std::random_device random;
    this->network = "127." + std::to_string(40 + random() % 200) + "." +
                    std::to_string(1 + random() % 250) + ".";
    this->ChoosePorts();
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
      throw CouldNotRun("no temporary folder");
    }
    this->folder = pattern;
    this->store = std::make_unique<Store>(
        Address{this->network + "250", this->ports.store});
    this->ReadDeployFile();
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
      this->processes.push_back(-1);
      this->backends.push_back(std::make_unique<Backend>(
          this->NameOf(i), this->machines[i].zone, this->machines[i].service,
          Address{this->IpOf(i), this->ports.app}, this->Control(i),
          this->journal, backend));
    }
  }
  ~Deployment() {
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
      this->Kill(i);
    }
    this->backends.clear();
    this->store.reset();
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(this->folder, ignored);
    } else {
      std::cerr << "kept: " << this->folder << "\n";
    }
  }

  // Commands.

  // Only from the main thread: the daemon ends with the thread that starts it.
  void Start(std::size_t machine) {
    const std::string path = this->folder + "/" + this->NameOf(machine);
    std::ofstream(path + ".json") << this->Settings(machine);
    std::vector<std::string> words;
    std::istringstream run(this->run);
    for (std::string word; run >> word;) {
      words.push_back(word);
    }
    words[0] = this->repository + "/" + words[0];
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const std::string setting = "LYCHEEWELL_BOOT=" + path + ".json";
    const pid_t child = fork();
    if (child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // also if this program is ended
      const int log =
          ::open((path + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      const rlimit few{4100, 4100};  // descriptors of a machine
      setrlimit(RLIMIT_NOFILE, &few);
      if (chdir(this->repository.c_str()) != 0) {
        _exit(127);
      }
      putenv(const_cast<char*>(setting.c_str()));
      execv(words[0].c_str(), arguments.data());
      _exit(127);
    }
    this->processes[machine] = child;
  }
  void StartAll() {
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
      this->Start(i);
    }
  }
  void Signal(std::size_t machine, int number) {
    if (this->processes[machine] > 0) {
      ::kill(this->processes[machine], number);
    }
  }
  void Kill(std::size_t machine) {
    if (this->processes[machine] > 0) {
      this->Signal(machine, SIGKILL);
      waitpid(this->processes[machine], nullptr, 0);
      this->processes[machine] = -1;
    }
  }
  // The daemon has ended by itself and IsRunning() has said so.
  void Forget(std::size_t machine) { this->processes[machine] = -1; }
  // SIGTERM, and SIGKILL after the grace.
  void Stop(std::size_t machine) {
    this->Signal(machine, SIGTERM);
    const auto until = Clock::now() + seconds(6);
    while (Clock::now() < until) {
      if (waitpid(this->processes[machine], nullptr, WNOHANG) > 0) {
        this->processes[machine] = -1;
        return;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    this->Kill(machine);
  }
  // Waits until all daemons are ready and all backends are known.
  void AwaitReady() {
    const auto until = Clock::now() + seconds(20);
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
      while (!this->IsReady(i) || !this->backends[i]->was_acknowledged()) {
        if (Clock::now() > until) {
          throw CouldNotRun(this->NameOf(i) + " does not get ready");
        }
        std::this_thread::sleep_for(milliseconds(50));
      }
    }
    std::this_thread::sleep_for(seconds(2));  // links and reports settle
  }

  // Queries.

  bool IsReady(std::size_t machine) const {
    const Socket socket = Socket::Connect(this->Ready(machine));
    Reader reader(socket);
    if (!socket.is_open() ||
        !socket.Write("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")) {
      return false;
    }
    const auto answer = reader.Next(Clock::now() + seconds(1));
    return answer && answer->status() == 200;
  }
  pid_t pid(std::size_t machine) const { return this->processes[machine]; }
  bool IsRunning(std::size_t machine) const {
    return this->processes[machine] > 0 &&
           waitpid(this->processes[machine], nullptr, WNOHANG) == 0;
  }
  std::string NameOf(std::size_t machine) const {
    return "sidecar-" + this->machines[machine].zone + "-" +
           std::to_string(machine + 1);
  }
  std::string IpOf(std::size_t machine) const {
    return this->network + std::to_string(machine + 1);
  }
  Address Outbound(std::size_t machine) const {
    return {this->IpOf(machine), this->ports.outbound};
  }
  Address Ready(std::size_t machine) const {
    return {this->IpOf(machine), this->ports.ready};
  }
  Address Control(std::size_t machine) const {
    return {this->IpOf(machine), this->ports.control};
  }
  std::string LogOf(std::size_t machine) const {
    std::ifstream file(this->folder + "/" + this->NameOf(machine) + ".log");
    return {std::istreambuf_iterator<char>(file), {}};
  }

  Journal journal;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Backend>> backends;

 private:
  void ChoosePorts() {
    std::random_device random;
    const int base = 20'000 + static_cast<int>(random() % 10'000);
    this->ports = {.outbound = base,
                   .inbound = base + 1,
                   .ready = base + 2,
                   .control = base + 3,
                   .app = base + 4,
                   .store = base + 5,
                   .first = base + 10};
    // The network is drawn at random, too; this shows that it is free.
    for (int port = base; port < base + 26; ++port) {
      const Socket probe = Socket::Listen({this->network + "1", port});
    }
  }
  void ReadDeployFile() {
    std::ifstream file(this->repository + "/deploy/system.toml");
    for (std::string line; std::getline(file, line);) {
      const auto value = [&line] {
        const std::size_t first = line.find('"') + 1;
        return line.substr(first, line.find('"', first) - first);
      };
      if (line.starts_with("run ")) {
        this->run = value();
      } else if (line.starts_with("template ")) {
        std::ifstream text(this->repository + "/" + value());
        this->settings_template = {std::istreambuf_iterator<char>(text), {}};
      }
    }
    if (this->run.empty() || this->settings_template.empty() ||
        access(
            (this->repository + "/" + this->run.substr(0, this->run.find(' ')))
                .c_str(),
            X_OK) != 0) {
      throw CouldNotRun("the deploy file's program is not built");
    }
  }
  // The fields of the platform's settings that the template may name.
  std::string Settings(std::size_t machine) const {
    const auto quoted = [](const std::string& text) {
      return "\"" + text + "\"";
    };
    const std::string ip = this->IpOf(machine);
    const auto at = [&](int port) { return quoted(Address{ip, port}.text()); };
    std::string zones;
    for (const MachineOptions& one : this->machines) {
      const std::string entry = quoted(one.zone) + ":\"region\"";
      if (zones.find(quoted(one.zone)) == std::string::npos) {
        zones += (zones.empty() ? "" : ",") + entry;
      }
    }
    const std::map<std::string, std::string> fields = {
        {"node", quoted(this->NameOf(machine))},
        {"zone", quoted(this->machines[machine].zone)},
        {"ip", quoted(ip)},
        {"listen.outbound", at(this->ports.outbound)},
        {"listen.inbound", at(this->ports.inbound)},
        {"listen.ready", at(this->ports.ready)},
        {"listen.control", at(this->ports.control)},
        {"appAddr", at(this->ports.app)},
        {"service", quoted(this->machines[machine].service)},
        {"heartbeat", quoted("1500ms")},
        {"zones", "{" + zones + "}"},
        {"portRange.0", std::to_string(this->ports.first)},
        {"portRange.1", std::to_string(this->ports.first + 15)},
        {"provider.address", quoted(this->store->address.text())},
        {"bounds.revoke", quoted("5000ms")},
        {"bounds.grace", quoted("6s")},
        {"bounds.retryBudgetRatio", "0.2"},
        {"bounds.budgetMinRetries", "48"},
        {"bounds.budgetWindow", quoted("10s")},
        {"bounds.quotaWindow", quoted("5s")}};
    std::string text = this->settings_template;
    // Sections of fields that this deployment does not have.
    for (std::size_t begin = 0;
         (begin = text.find("{{#")) != std::string::npos;) {
      const std::size_t name_end = text.find("}}", begin);
      const std::string name = text.substr(begin + 3, name_end - begin - 3);
      const std::string end = "{{/" + name + "}}";
      const std::size_t close = text.find(end, begin);
      if (fields.contains(name)) {
        text.erase(close, end.size());
        text.erase(begin, name_end + 2 - begin);
      } else {
        text.erase(begin, close + end.size() - begin);
      }
    }
    for (std::size_t begin = 0;
         (begin = text.find("{{", begin)) != std::string::npos;) {
      const std::size_t end = text.find("}}", begin);
      std::string name = text.substr(begin + 2, end - begin - 2);
      name = name.substr(0, name.find('|'));
      const auto found = fields.find(name);
      if (found == fields.end()) {
        throw CouldNotRun("the template names an unknown field: " + name);
      }
      text.replace(begin, end + 2 - begin, found->second);
      begin += found->second.size();
    }
    return text;
  }

  std::string repository;
  std::vector<MachineOptions> machines;
  std::string network;
  Ports ports;
  std::string folder;
  std::string run;
  std::string settings_template;
  std::vector<pid_t> processes;
};

// ---------------------------------------------------------------------------
// Manifests and requests.

struct RouteOptions {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 6000;
  int target_ms = 1500;
  int attempts = 2;
};
struct TenantOptions {
  std::string name;
  std::string key;
  int rate = 0;  // 0: no limit
  int burst = 0;
};

inline constexpr const char* kHost = "shop.example";

inline std::string Manifest(int version,
                            const std::vector<RouteOptions>& routes,
                            const std::vector<std::string>& services,
                            const std::vector<TenantOptions>& tenants) {
  std::ostringstream text;
  text
      << R"({"version":"r)" << version
      << R"(","routes":{"columns":["name","host","pathPrefix","kind","timeout",)"
      << R"("targetLatency","priority","weightedClusters","attempts","public","service"],"rows":[)";
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const RouteOptions& route = routes[i];
    text << (i > 0 ? "," : "") << "[\"" << route.name << "\",\"" << kHost
         << "\",\"" << route.prefix << "\",\"" << route.kind << "\",\""
         << route.timeout_ms << "ms\",\"" << route.target_ms << "ms\",0,null,"
         << route.attempts << ",false,\"" << route.service << "\"]";
  }
  text
      << R"(]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[)";
  for (std::size_t i = 0; i < services.size(); ++i) {
    text << (i > 0 ? "," : "") << "[\"" << services[i]
         << "\",\"/health\",1210,\"h1\",false]";
  }
  text
      << R"(]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},)"
      << R"("tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[)";
  for (std::size_t i = 0; i < tenants.size(); ++i) {
    const TenantOptions& tenant = tenants[i];
    text << (i > 0 ? "," : "") << "[\"" << tenant.name << "\",[\"" << tenant.key
         << "\"],1," << tenant.rate << "," << tenant.burst << "]";
  }
  text << "]}}";
  return text.str();
}

struct RequestOptions {
  std::string method = "GET";
  std::string target;
  std::string id;
  std::string key;
  int time_limit_ms = 6000;
  std::string body = "";
  std::string header_lines = "";
};

inline std::string RequestText(const RequestOptions& request) {
  std::string text =
      request.method + " " + request.target + " HTTP/1.1\r\nHost: " + kHost +
      "\r\nRequest-Id: " + request.id +
      "\r\nDeadline-Ms: " + std::to_string(request.time_limit_ms) +
      "\r\nAuthorization: Bearer " + request.key + "\r\n" +
      request.header_lines;
  if (request.method != "GET") {
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  return text + "\r\n" + request.body;
}

// Runs a case: `repository` and the folder of the case are its arguments.
inline int Main(int argc, char** argv,
                const std::function<int(const std::string& repository,
                                        Record& record)>& play) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 3) {
    std::cerr << "usage: " << argv[0] << " REPOSITORY FOLDER\n";
    return kCouldNotRun;
  }
  Record record(std::string(argv[2]) + "/record.txt");
  record.Line(HasTrouble() ? "with the trouble" : "without the trouble");
  try {
    return play(argv[1], record);
  } catch (const std::exception& problem) {
    record.Line(std::string("could not run: ") + problem.what());
    std::cerr << problem.what() << "\n";
    return kCouldNotRun;
  }
}

}  // namespace stage

#endif  // LYCHEEWELL_REVIEW_STAGE_2_STAGE_H_

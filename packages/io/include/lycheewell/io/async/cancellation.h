// Tells the work for one request that nobody waits for it any more.
#ifndef LYCHEEWELL_IO_ASYNC_CANCELLATION_H_
#define LYCHEEWELL_IO_ASYNC_CANCELLATION_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace lycheewell::io::async {

// Safe to use from any thread. Callbacks run once, on the thread that cancels,
// without a lock held.
class Cancellation {
 public:
  using CallbackId = std::uint64_t;

  // Commands.

  void Cancel();

  // Calls `callback` on Cancel, or at once when it was cancelled already.
  CallbackId AddCallback(std::function<void()> callback);
  void RemoveCallback(CallbackId id);

  // Queries.

  bool IsCancelled() const;

 private:
  mutable std::mutex mutex;
  bool cancelled = false;
  CallbackId next_id = 1;
  std::map<CallbackId, std::function<void()>> callbacks;
};

using CancellationPointer = std::shared_ptr<Cancellation>;

// Keeps a callback registered while it lives.
class CancellationCallback {
 public:
  CancellationCallback(CancellationPointer cancellation,
                       std::function<void()> callback);
  ~CancellationCallback();

  CancellationCallback(const CancellationCallback&) = delete;
  CancellationCallback& operator=(const CancellationCallback&) = delete;

 private:
  CancellationPointer cancellation;
  Cancellation::CallbackId id = 0;
};

}  // namespace lycheewell::io::async

#endif  // LYCHEEWELL_IO_ASYNC_CANCELLATION_H_

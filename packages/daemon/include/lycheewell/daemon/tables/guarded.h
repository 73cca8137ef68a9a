// A value that several workers share under a mutex.
#ifndef LYCHEEWELL_DAEMON_TABLES_GUARDED_H_
#define LYCHEEWELL_DAEMON_TABLES_GUARDED_H_

#include <mutex>
#include <utility>

namespace lycheewell::daemon::tables {

template <typename Value>
class Guarded {
 public:
  // Access to the value while the lock is held.
  class Locked {
   public:
    Locked(std::mutex& mutex, Value& new_value)
        : lock(mutex), value(new_value) {}

    Value* operator->() { return &this->value; }
    Value& operator*() { return this->value; }

   private:
    std::unique_lock<std::mutex> lock;
    Value& value;
  };

  template <typename... Arguments>
  explicit Guarded(Arguments&&... arguments)
      : value(std::forward<Arguments>(arguments)...) {}

  Locked Lock() { return Locked(this->mutex, this->value); }

 private:
  std::mutex mutex;
  Value value;
};

}  // namespace lycheewell::daemon::tables

#endif  // LYCHEEWELL_DAEMON_TABLES_GUARDED_H_

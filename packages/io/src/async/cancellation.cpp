#include "lycheewell/io/async/cancellation.h"

namespace lycheewell::io::async {

void Cancellation::Cancel() {
  std::map<CallbackId, std::function<void()>> to_call;
  {
    const std::lock_guard lock(this->mutex);
    if (this->cancelled) {
      return;
    }
    this->cancelled = true;
    to_call.swap(this->callbacks);
  }
  for (const auto& [id, callback] : to_call) {
    callback();
  }
}

Cancellation::CallbackId Cancellation::AddCallback(
    std::function<void()> callback) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->cancelled) {
      const CallbackId id = this->next_id++;
      this->callbacks.emplace(id, std::move(callback));
      return id;
    }
  }
  callback();
  return 0;
}

void Cancellation::RemoveCallback(CallbackId id) {
  const std::lock_guard lock(this->mutex);
  this->callbacks.erase(id);
}

bool Cancellation::IsCancelled() const {
  const std::lock_guard lock(this->mutex);
  return this->cancelled;
}

CancellationCallback::CancellationCallback(CancellationPointer new_cancellation,
                                           std::function<void()> callback)
    : cancellation(std::move(new_cancellation)) {
  if (this->cancellation) {
    this->id = this->cancellation->AddCallback(std::move(callback));
  }
}

CancellationCallback::~CancellationCallback() {
  if (this->cancellation) {
    this->cancellation->RemoveCallback(this->id);
  }
}

}  // namespace lycheewell::io::async

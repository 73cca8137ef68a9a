// Bounds the memory that bodies on many connections hold together.
#ifndef LYCHEEWELL_SIDECAR_HTTP_BYTE_BUDGET_H_
#define LYCHEEWELL_SIDECAR_HTTP_BYTE_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace lycheewell::sidecar::http {

// For use on the event loop's thread only.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t new_limit) : limit(new_limit) {}

  // Commands.

  // Takes `size` bytes. Returns false, and takes none, when fewer are left.
  bool Take(std::size_t size) {
    if (size > this->limit - this->used) {
      return false;
    }
    this->used += size;
    return true;
  }
  void Return(std::size_t size) { this->used -= size; }

  // Queries.

  std::size_t used_bytes() const { return this->used; }
  std::size_t limit_bytes() const { return this->limit; }

 private:
  std::size_t limit;
  std::size_t used = 0;
};

using ByteBudgetPointer = std::shared_ptr<ByteBudget>;

// The bytes of one body that count towards a budget. Small bodies are free, so
// that a few large ones cannot keep them out.
class BodyAllowance {
 public:
  static constexpr std::size_t kFreeBytes = 64 * 1024;

  explicit BodyAllowance(ByteBudgetPointer new_budget)
      : budget(std::move(new_budget)) {}
  ~BodyAllowance() { this->Reset(); }
  BodyAllowance(const BodyAllowance&) = delete;
  BodyAllowance& operator=(const BodyAllowance&) = delete;

  // Commands.

  // Adjusts to a body of `size` bytes. Returns false when the budget has no
  // room for it.
  bool Grow(std::size_t size) {
    const std::size_t wanted = size > kFreeBytes ? size - kFreeBytes : 0;
    if (!this->budget || wanted <= this->taken) {
      return true;
    }
    if (!this->budget->Take(wanted - this->taken)) {
      return false;
    }
    this->taken = wanted;
    return true;
  }
  void Reset() {
    if (this->budget) {
      this->budget->Return(std::exchange(this->taken, 0));
    }
  }

 private:
  ByteBudgetPointer budget;  // null: no bound
  std::size_t taken = 0;
};

}  // namespace lycheewell::sidecar::http

#endif  // LYCHEEWELL_SIDECAR_HTTP_BYTE_BUDGET_H_

// The seeds of a test over random schedules.
#ifndef LYCHEEWELL_TESTS_FAKES_SEEDS_H_
#define LYCHEEWELL_TESTS_FAKES_SEEDS_H_

#include <cstdint>
#include <cstdlib>
#include <vector>

namespace lycheewell::fakes {

inline constexpr std::uint64_t kSchedules = 10'000;
inline constexpr std::uint64_t kShards = 4;

// All seeds; LYCHEEWELL_SHARD=0..3 leaves a quarter of them, LYCHEEWELL_SEED
// one, for a replay.
inline std::vector<std::uint64_t> Seeds() {
  const char* one = std::getenv("LYCHEEWELL_SEED");
  if (one != nullptr) {
    return {std::strtoull(one, nullptr, 10)};
  }
  const char* shard_text = std::getenv("LYCHEEWELL_SHARD");
  const std::uint64_t step = shard_text == nullptr ? 1 : kShards;
  const std::uint64_t first =
      shard_text == nullptr ? 0 : std::strtoull(shard_text, nullptr, 10);
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = 1 + first; seed <= kSchedules; seed += step) {
    seeds.push_back(seed);
  }
  return seeds;
}

}  // namespace lycheewell::fakes

#endif  // LYCHEEWELL_TESTS_FAKES_SEEDS_H_

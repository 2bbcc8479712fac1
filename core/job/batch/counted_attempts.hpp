#pragma once

// Which attempts of a task a count includes. It is stored beside the count, so
// that an end or a crash that is found again, by the same leader or the next
// one, doesn't raise the count. An attempt is one start order, so it runs in at
// most one life of one executor.

#include <cstddef>
#include <vector>

namespace galenastage::batch {

/// Later attempts that are kept one by one.
inline constexpr std::size_t MaxLaterAttempts = 16;

/// A set of attempts. It may include attempts that were never added once more
/// than MaxLaterAttempts of them aren't consecutive: then it includes all up to
/// the lowest of these. A count that leaves them out is too low, which means
/// one more start.
struct counted_attempts {
  int UpTo = 0;           // includes 1 to UpTo
  std::vector<int> Later; // above UpTo + 1, in ascending order

  [[nodiscard]] bool isEmpty() const { return UpTo == 0 && Later.empty(); }
  [[nodiscard]] bool contains(int Attempt) const;
  /// Returns false if the attempt was included already.
  bool add(int Attempt);
  /// Takes the attempt out, unless too many others would have to be kept one by
  /// one.
  void remove(int Attempt);

  friend bool operator==(const counted_attempts &,
                         const counted_attempts &) = default;
};

} // namespace galenastage::batch

#include "core/job/batch/counted_attempts.hpp"

#include <algorithm>
#include <numeric>

namespace galenastage::batch {

bool counted_attempts::contains(int Attempt) const {
  return Attempt <= UpTo || std::ranges::binary_search(Later, Attempt);
}

bool counted_attempts::add(int Attempt) {
  if (contains(Attempt))
    return false;
  Later.insert(std::ranges::upper_bound(Later, Attempt), Attempt);
  if (Later.size() > MaxLaterAttempts)
    UpTo = Later.front() - 1;
  auto Next = Later.begin();
  for (; Next != Later.end() && *Next == UpTo + 1; ++Next)
    ++UpTo;
  Later.erase(Later.begin(), Next);
  return true;
}

void counted_attempts::remove(int Attempt) {
  if (Attempt > UpTo) {
    std::erase(Later, Attempt);
    return;
  }
  const auto Above = static_cast<std::size_t>(UpTo - Attempt);
  if (Attempt < 1 || Above + Later.size() > MaxLaterAttempts)
    return;
  std::vector<int> Kept(Above);
  std::iota(Kept.begin(), Kept.end(), Attempt + 1);
  Later.insert(Later.begin(), Kept.begin(), Kept.end());
  UpTo = Attempt - 1;
}

} // namespace galenastage::batch

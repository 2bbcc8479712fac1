#include "core/job/batch/counted_attempts.hpp"

#include <algorithm>

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

} // namespace galenastage::batch

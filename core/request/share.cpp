#include "core/request/share.hpp"

#include "core/request/routing.hpp"

#include <algorithm>

namespace galenastage {

void noteMembers(member_history &History, std::span<const instance_id> Members,
                 instant Now, milliseconds ShareWait) {
  std::vector<instance_id> Sorted(Members.begin(), Members.end());
  std::ranges::sort(Sorted);
  const bool IsNew =
      History.Lists.empty() || History.Lists.back().Members != Sorted;
  // The previous list may have been valid until now.
  if (!History.Lists.empty())
    History.Lists.back().LastSeen = Now;
  if (IsNew)
    History.Lists.push_back({std::move(Sorted), Now, Now});
  History.Lists.back().LastSeen = Now;
  if (Now - History.Lists.front().FirstSeen >= ShareWait)
    History.IsComplete = true;
  std::erase_if(History.Lists, [&](const member_list &List) {
    return Now - List.LastSeen > ShareWait;
  });
}

bool isSettled(const member_history &History, const instance_id &Self) {
  return History.IsComplete &&
         std::ranges::all_of(History.Lists, [&](const member_list &List) {
           return std::ranges::binary_search(List.Members, Self);
         });
}

int safeShare(const member_history &History, const executor_id &Executor,
              const instance_id &Self, int Slots) {
  if (!isSettled(History, Self))
    return 0;
  int Share = Slots;
  for (const member_list &List : History.Lists)
    Share = std::min(Share, slotShare(Executor, Self, List.Members, Slots));
  return Share;
}

int fewestMembers(const member_history &History) {
  std::size_t Fewest = History.Lists.empty() ? 1 : SIZE_MAX;
  for (const member_list &List : History.Lists)
    Fewest = std::min(Fewest, List.Members.size());
  return std::max(1, static_cast<int>(Fewest));
}

} // namespace galenastage

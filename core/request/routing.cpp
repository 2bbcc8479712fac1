#include "core/request/routing.hpp"

#include <xxhash.h>

#include <algorithm>

namespace galenastage {
namespace {

bool isPrefixOfPath(std::string_view Prefix, std::string_view Path) {
  if (!Path.starts_with(Prefix))
    return false;
  return Path.size() == Prefix.size() || Prefix.ends_with('/') ||
         Path[Prefix.size()] == '/';
}

std::uint64_t rendezvousWeight(const executor_id &Executor,
                               const instance_id &Member) {
  const std::string Pair = Executor.Value + '\0' + Member.Value;
  return XXH64(Pair.data(), Pair.size(), 0);
}

} // namespace

const route *matchRoute(const tables &Tables, std::string_view Path) {
  const route *Best = nullptr;
  for (const route &Row : Tables.Routes) {
    const bool IsLonger =
        !Best || Row.PathPrefix.size() > Best->PathPrefix.size();
    if (IsLonger && isPrefixOfPath(Row.PathPrefix, Path))
      Best = &Row;
  }
  return Best;
}

int slotShare(const executor_id &Executor, const instance_id &Self,
              std::span<const instance_id> Members, int Slots) {
  if (std::ranges::find(Members, Self) == Members.end())
    return 0;
  const std::uint64_t OwnWeight = rendezvousWeight(Executor, Self);
  const auto Rank = std::ranges::count_if(Members, [&](const instance_id &M) {
    const std::uint64_t Weight = rendezvousWeight(Executor, M);
    return std::pair(Weight, M) > std::pair(OwnWeight, Self);
  });
  const int Count = static_cast<int>(Members.size());
  return Slots / Count + (Rank < Slots % Count ? 1 : 0);
}

int idleConnectionShare(int Connections, int Slots, int Members, int Threads) {
  const int OwnSlots = (Slots + Members - 1) / Members;
  const int Own = (Connections - Connections / 8) / Members - OwnSlots;
  // More connections than slots would never be in use.
  return std::clamp(Own / Threads, 0, OwnSlots);
}

} // namespace galenastage

#include "core/recovery/membership.hpp"

#include <xxhash.h>

#include <algorithm>

namespace galenastage {
namespace {

std::uint64_t rankWeight(std::string_view Purpose, const instance_id &Name) {
  const std::string Pair = std::string(Purpose) + '\0' + Name.Value;
  return XXH64(Pair.data(), Pair.size(), 0);
}

/// Whether two processes of different names have the same known address.
bool hasSameAddress(const member &One, const member &Two) {
  return One.Name != Two.Name && One.Address == Two.Address &&
         One.Address != endpoint{};
}

/// Removes older processes with the address of a newer one.
void dropReplaced(membership &Membership, const member &Newer) {
  std::erase_if(Membership.Members, [&](const auto &Item) {
    const member &Known = Item.second;
    return hasSameAddress(Known, Newer) &&
           Known.Incarnation < Newer.Incarnation;
  });
}

/// Whether a newer process of another name has taken over the address.
bool isReplaced(const membership &Membership, const member &Heard) {
  return std::ranges::any_of(Membership.Members, [&](const auto &Item) {
    const member &Known = Item.second;
    return hasSameAddress(Known, Heard) &&
           Known.Incarnation > Heard.Incarnation;
  });
}

} // namespace

std::string_view name(process_kind Kind) {
  return Kind == process_kind::Entry ? "entry" : "scheduler";
}

void applyInstanceList(membership &Membership,
                       const std::vector<member> &Listed) {
  for (auto &[Name, Known] : Membership.Members)
    Known.IsListed = false;
  for (const member &Row : Listed) {
    // The list lags and may still name a process that was replaced.
    if (isReplaced(Membership, Row) && !Membership.Members.contains(Row.Name))
      continue;
    member &Known = Membership.Members[Row.Name];
    Known.Name = Row.Name;
    Known.DataCentre = Row.DataCentre;
    Known.Kind = Row.Kind;
    Known.IsListed = true;
    Known.IsLeaving = Row.IsLeaving;
    // The address from a heartbeat is newer than the listed one.
    if (Known.Incarnation == 0)
      Known.Address = Row.Address;
  }
}

bool applyHeartbeat(membership &Membership, const member &Heard) {
  if (isReplaced(Membership, Heard))
    return false;
  const auto Found = Membership.Members.find(Heard.Name);
  if (Found == Membership.Members.end()) {
    dropReplaced(Membership, Heard);
    Membership.Members[Heard.Name] = Heard;
    return true;
  }
  member &Known = Found->second;
  if (Heard.Incarnation < Known.Incarnation)
    return false;
  const bool IsNewProcess = Heard.Incarnation > Known.Incarnation;
  Known.DataCentre = Heard.DataCentre;
  Known.Kind = Heard.Kind;
  if (Heard.Address != endpoint{})
    Known.Address = Heard.Address;
  Known.Incarnation = Heard.Incarnation;
  Known.Version =
      IsNewProcess ? Heard.Version : std::max(Known.Version, Heard.Version);
  Known.LastHeard = std::max(Known.LastHeard, Heard.LastHeard);
  if (IsNewProcess)
    dropReplaced(Membership, Heard);
  return true;
}

void expireMembers(membership &Membership, instant Now) {
  std::erase_if(Membership.Members, [&](const auto &Item) {
    const member &Known = Item.second;
    if (Known.IsListed)
      return false;
    return Known.LastHeard == instant::min() ||
           Known.LastHeard + Membership.ForgetAfter < Now;
  });
}

bool isLive(const membership &Membership, const member &Member, instant Now) {
  return Member.LastHeard != instant::min() &&
         Member.LastHeard + Membership.SilentAfter >= Now;
}

std::vector<instance_id> rankMembers(const membership &Membership,
                                     const data_centre_id &DataCentre,
                                     process_kind Kind, const instance_id &Self,
                                     std::string_view Purpose, instant Now) {
  std::vector<instance_id> Ranked{Self};
  for (const auto &[Name, Member] : Membership.Members) {
    const bool IsCandidate = Name != Self && Member.DataCentre == DataCentre &&
                             Member.Kind == Kind &&
                             isLive(Membership, Member, Now);
    if (IsCandidate)
      Ranked.push_back(Name);
  }
  std::ranges::sort(Ranked, std::ranges::greater{},
                    [&](const instance_id &Name) {
                      return std::pair(rankWeight(Purpose, Name), Name);
                    });
  return Ranked;
}

} // namespace galenastage

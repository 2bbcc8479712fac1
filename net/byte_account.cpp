#include "net/byte_account.hpp"

#include <algorithm>

namespace galenastage {

bool byte_claim::fits(std::size_t NewSize) const {
  return NewSize <= Bytes || NewSize - Bytes <= Account.Limit - Account.Used;
}

bool byte_claim::resize(std::size_t NewSize) {
  if (!fits(NewSize))
    return false;
  Account.Used = Account.Used - Bytes + NewSize;
  Account.Peak = std::max(Account.Peak, Account.Used);
  Bytes = NewSize;
  return true;
}

void byte_claim::shrink(std::size_t NewSize) {
  if (NewSize >= Bytes)
    return;
  Account.Used -= Bytes - NewSize;
  Bytes = NewSize;
}

} // namespace galenastage

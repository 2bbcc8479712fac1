#pragma once

// Accounts for the memory that connections from outside make a process hold.

#include <cstddef>

namespace galenastage {

/// A fixed number of bytes that claims share. For use on one thread.
class byte_account {
public:
  explicit byte_account(std::size_t Limit) : Limit(Limit) {}
  byte_account(const byte_account &) = delete;
  byte_account &operator=(const byte_account &) = delete;

  [[nodiscard]] std::size_t used() const { return Used; }
  [[nodiscard]] std::size_t limit() const { return Limit; }
  /// Most bytes that were in use at once.
  [[nodiscard]] std::size_t peak() const { return Peak; }

private:
  friend class byte_claim;

  std::size_t Limit;
  std::size_t Used = 0;
  std::size_t Peak = 0;
};

/// Bytes of an account for one owner, returned when the claim is destroyed. The
/// account must outlive its claims.
class byte_claim {
public:
  explicit byte_claim(byte_account &Account) : Account(Account) {}
  ~byte_claim() { shrink(0); }
  byte_claim(const byte_claim &) = delete;
  byte_claim &operator=(const byte_claim &) = delete;

  [[nodiscard]] std::size_t size() const { return Bytes; }
  /// Whether the account has room for a claim of that size.
  [[nodiscard]] bool fits(std::size_t NewSize) const;
  /// Changes the claim to that size; false, without a change, when the account
  /// has no room for it.
  [[nodiscard]] bool resize(std::size_t NewSize);
  /// Gives bytes back until at most so many are left.
  void shrink(std::size_t NewSize);

private:
  byte_account &Account;
  std::size_t Bytes = 0;
};

} // namespace galenastage

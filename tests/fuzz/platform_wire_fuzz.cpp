#include "platform/wire.hpp"

#include <cstdint>
#include <cstdlib>

using namespace galenastage;
using namespace galenastage::platform;

namespace {

/// A parser returns either a value or the reason of its failure.
template <typename Value> void check(const parsed<Value> &Parsed) {
  if (Parsed.Result.has_value() != Parsed.Reason.empty())
    std::abort();
}

} // namespace

/// The first byte selects the parser; the rest is its input. No parser may
/// throw.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size == 0)
    return 0;
  const std::string Text(reinterpret_cast<const char *>(Data) + 1, Size - 1);
  switch (Data[0] % 6) {
  case 0:
    check(parseConfig(Text));
    break;
  case 1:
    check(parseExecutor("i-1", Text));
    break;
  case 2:
    check(parseJob(Text));
    break;
  case 3:
    check(parseHoldAnswer(Text));
    break;
  case 4:
    parseOrderAnswer(Text);
    break;
  default:
    if (const auto Task = parseTaskName(Text);
        Task && parseTaskName(printTaskName(*Task)) != Task)
      std::abort();
  }
  return 0;
}

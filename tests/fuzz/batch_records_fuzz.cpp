#include "core/job/batch/records.hpp"

#include <cstdint>
#include <cstdlib>

using namespace galenastage::batch;

/// A record that parses must print to a text that parses to the same value.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  parseSummary(Text);
  const auto Spec = parseSpec(Text);
  if (Spec.Error)
    return Spec.Reason.empty() ? (std::abort(), 0) : 0;
  const auto Again = parseSpec(printSpec(Spec.Record));
  if (Again.Error || Again.Record != Spec.Record)
    std::abort();
  parseProgress(Text, Spec.Record);
  return 0;
}

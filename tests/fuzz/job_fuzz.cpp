#include "core/job/job.hpp"

#include <cstdint>
#include <cstdlib>

using namespace galenastage;

/// A record that parses must print to a text that parses to the same value.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  parseJobSpec(Text);
  const auto Parsed = parseJobRecord(Text);
  if (!Parsed.Job)
    return Parsed.Problems.empty() ? (std::abort(), 0) : 0;
  const auto Again = parseJobRecord(printJobRecord(*Parsed.Job));
  if (!Again.Job || *Again.Job != *Parsed.Job)
    std::abort();
  return 0;
}

#include "core/config/tables.hpp"

#include <cstdint>
#include <cstdlib>

using namespace galenastage;

/// Validation of tables that parse must not crash, and they must print to a
/// text that parses to the same value.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  const parsed_tables Parsed = parseTables(Text);
  if (!Parsed.Tables)
    return Parsed.Problems.empty() ? (std::abort(), 0) : 0;
  validate(*Parsed.Tables);
  const parsed_tables Again = parseTables(printTables(*Parsed.Tables));
  if (!Again.Tables || *Again.Tables != *Parsed.Tables)
    std::abort();
  return 0;
}

#include "core/job/worker_protocol.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <cstdlib>

using namespace galenastage;

namespace {

template <typename Message> void roundTrip(std::string_view Text) {
  const auto Parsed = parseWorkerMessage<Message>(Text);
  if (!Parsed)
    return;
  const std::string Printed = nlohmann::json(*Parsed).dump();
  if (parseWorkerMessage<Message>(Printed) != Parsed)
    std::abort();
}

} // namespace

/// A message that parses must print to a text that parses to the same value.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const std::string_view Text(reinterpret_cast<const char *>(Data), Size);
  roundTrip<reserve_request>(Text);
  roundTrip<start_request>(Text);
  roundTrip<renew_request>(Text);
  roundTrip<release_request>(Text);
  roundTrip<throttle_request>(Text);
  roundTrip<usage_report>(Text);
  roundTrip<worker_answer>(Text);
  roundTrip<worker_report>(Text);
  return 0;
}

#pragma once

#include <cstdint>

namespace galenastage::measure {

/// Bytes that the program holds through operator new at this moment, as the
/// allocator rounds them up. The measuring program replaces operator new to
/// count them.
std::int64_t allocatedBytes();

} // namespace galenastage::measure

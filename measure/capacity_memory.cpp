#include "measure/capacity_memory.hpp"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

// Bookkeeping of the allocator in front of each block.
constexpr std::int64_t BlockOverhead = 8;

std::atomic<std::int64_t> Allocated{0};

std::int64_t sizeOf(void *Block) {
  return static_cast<std::int64_t>(malloc_usable_size(Block)) + BlockOverhead;
}

void *allocate(std::size_t Size) {
  void *Block = std::malloc(Size);
  if (!Block)
    throw std::bad_alloc();
  Allocated.fetch_add(sizeOf(Block), std::memory_order_relaxed);
  return Block;
}

void release(void *Block) noexcept {
  if (!Block)
    return;
  Allocated.fetch_sub(sizeOf(Block), std::memory_order_relaxed);
  std::free(Block);
}

} // namespace

void *operator new(std::size_t Size) { return allocate(Size); }
void *operator new[](std::size_t Size) { return allocate(Size); }
void operator delete(void *Block) noexcept { release(Block); }
void operator delete[](void *Block) noexcept { release(Block); }
void operator delete(void *Block, std::size_t) noexcept { release(Block); }
void operator delete[](void *Block, std::size_t) noexcept { release(Block); }

namespace galenastage::measure {

std::int64_t allocatedBytes() {
  return Allocated.load(std::memory_order_relaxed);
}

} // namespace galenastage::measure

#include <bench/support/counted_memory.hpp>

#include <cstdlib>
#include <new>

#include <malloc.h>

void*
operator new(std::size_t aSize)
{
  auto* const memory = std::malloc(aSize == 0 ? 1 : aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  cornelshore::bench::gAllocatedBytes.fetch_add(malloc_usable_size(memory),
                                                std::memory_order_relaxed);
  return memory;
}

void
operator delete(void* aMemory) noexcept
{
  if (aMemory != nullptr) {
    cornelshore::bench::gAllocatedBytes.fetch_sub(malloc_usable_size(aMemory),
                                                  std::memory_order_relaxed);
    std::free(aMemory);
  }
}

void
operator delete(void* aMemory, std::size_t) noexcept
{
  operator delete(aMemory);
}

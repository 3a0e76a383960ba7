#ifndef CORNELSHORE_BENCH_SUPPORT_COUNTED_MEMORY_HPP
#define CORNELSHORE_BENCH_SUPPORT_COUNTED_MEMORY_HPP

#include <atomic>
#include <cstddef>
#include <cstdlib>
#include <new>

#include <malloc.h>

/**
 * @brief Counts the bytes that the program holds allocated.
 *
 * Replaces the global operators new and delete; include it in exactly one
 * source file of a program.
 */
namespace cornelshore::bench {

inline std::atomic<std::size_t> gAllocatedBytes{ 0 };

/** @brief Bytes held at present, as the allocator rounds them. */
inline std::size_t
AllocatedBytes()
{
  return gAllocatedBytes.load(std::memory_order_relaxed);
}

} // namespace cornelshore::bench

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

#endif

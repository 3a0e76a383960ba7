#ifndef CORNELSHORE_BENCH_SUPPORT_COUNTED_MEMORY_HPP
#define CORNELSHORE_BENCH_SUPPORT_COUNTED_MEMORY_HPP

#include <atomic>
#include <cstddef>

/**
 * @brief Counts the bytes that the program holds allocated.
 *
 * Needs `counted_memory.cpp` in the program, which replaces the global
 * operators new and delete.
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

#endif

#ifndef JASMINELATCH_BENCH_HEAP_HPP
#define JASMINELATCH_BENCH_HEAP_HPP

#include <malloc.h>

namespace jasminelatch::bench {

/*! @brief Returns the bytes that the process has allocated and not freed, with the allocator's own overhead. */
[[nodiscard]] inline auto heapBytes() -> double
{
    const auto info = ::mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

} // namespace jasminelatch::bench

#endif

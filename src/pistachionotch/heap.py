"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes

# Number of the option in the GNU C library.
_MMAP_THRESHOLD = -3
# Larger blocks get pages of their own, which the system gets back as soon as they are freed.
MAPPED_BLOCK_BYTES = 256 * 1024


def return_freed_memory() -> None:
    """Let freed bodies leave the process's resident memory at once.

    By default the allocator raises this threshold to up to 32 MiB with the first large block that
    is freed, and then keeps the gaps that later blocks leave.
    """
    libc = ctypes.CDLL(None)
    # Only the GNU C library provides this function.
    if hasattr(libc, "mallopt"):
        libc.mallopt(_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)

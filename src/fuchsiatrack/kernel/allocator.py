"""Settings of the C library's memory allocator."""

from __future__ import annotations

import contextlib
import ctypes

# Larger blocks are mapped on their own.  Event loops read from a socket into blocks of up to
# 256 KiB, which would then be mapped for each read.
MAX_HEAP_BLOCK_BYTES = 2**20
# Parameter of mallopt(3).
_M_MMAP_THRESHOLD = -3


def limit_heap_blocks() -> None:
    """Let large blocks leave the process when they are freed.

    glibc otherwise takes blocks as large as the largest one freed so far from its heap, where
    bodies that grow beside each other leave gaps that none of them fits into.  C libraries without
    mallopt(3) are left as they are.
    """
    with contextlib.suppress(AttributeError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, MAX_HEAP_BLOCK_BYTES)

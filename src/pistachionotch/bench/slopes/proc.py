"""Figures of another process from ``/proc``, and of a socket from the kernel."""

from __future__ import annotations

import socket
import struct
from pathlib import Path

import attrs

NS_PER_MS = 1_000_000
TCP_INFO_BYTES = 256
# Offset of tcpi_bytes_acked; bytes_received, segs_out and segs_in follow it.
TCP_INFO_COUNTS = 120


def resident_kb(pid: int) -> int:
    """Return the resident memory of a process."""
    for row in Path(f"/proc/{pid}/status").read_text().splitlines():
        if row.startswith("VmRSS:"):
            return int(row.split()[1])
    raise ValueError(f"process {pid} has no resident memory")


def cpu_ms(pid: int) -> float:
    """Return the processor time that all threads of a process have used."""
    used_ns = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        used_ns += int((task / "schedstat").read_text().split()[0])
    return used_ns / NS_PER_MS


@attrs.frozen
class SocketCounts:
    """Count what one TCP connection carried; bytes are payload without TCP and IP headers."""

    sent_bytes: int
    received_bytes: int
    sent_segments: int
    received_segments: int

    def payload(self) -> int:
        """Return the payload bytes of both directions."""
        return self.sent_bytes + self.received_bytes

    def segments(self) -> int:
        """Return the segments of both directions."""
        return self.sent_segments + self.received_segments


def socket_counts(connection: socket.socket) -> SocketCounts:
    """Return the kernel's counts for a connection."""
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    return SocketCounts(*struct.unpack_from("QQII", info, TCP_INFO_COUNTS))

"""Read what the kernel knows of a process and of what waits at its address."""

import os
import socket
from pathlib import Path

TCP_LISTEN = "0A"


def resident_bytes(pid: int, field: str = "VmRSS") -> int:
    """Return the resident memory of a process, or with `VmHWM` the most that there ever was."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) * 1024
    return 0


def unread_bytes(host: str, port: int | None = None) -> int:
    """Return the bytes that have arrived at an address, or one port, and were not read yet."""
    octets = reversed(socket.inet_aton(host))
    own_address = "".join(f"{octet:02X}" for octet in octets) + ":"
    if port is not None:
        own_address += f"{port:04X}"
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(own_address) and fields[3] != TCP_LISTEN:
            unread += int(fields[4].partition(":")[2], 16)
    return unread


def descriptor_count(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))

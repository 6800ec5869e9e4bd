"""Injects system call failures and wall clock steps into a process by a preloaded library.

The library (`syscall_faults.c`) is built with the system's compiler. A `SyscallFaults` is the control file of
one process: its rules apply from the next call on.
"""

from __future__ import annotations

import mmap
import os
import struct
import subprocess
from enum import IntEnum
from functools import cache
from pathlib import Path
from tempfile import gettempdir

SOURCE = Path(__file__).with_suffix(".c")
SHORTENED = -1  # in place of an errno: one byte is read or written
RULE_STRUCT = struct.Struct("<iIIIII")
WALL_OFFSET_STRUCT = struct.Struct("<q")
NANOSECONDS = 1_000_000_000


class Call(IntEnum):
    """A system call; the value is the index of its rule in the control file."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    READ = 3
    WRITE = 4
    OPEN = 5
    FSYNC = 6
    RENAME = 7


CONTROL_BYTES = WALL_OFFSET_STRUCT.size + len(Call) * RULE_STRUCT.size


@cache
def build_library() -> Path:
    """Builds the library once per process. Raises CalledProcessError if the compiler fails."""
    built = Path(gettempdir()) / f"pointgw-syscall-faults-{os.getpid()}.so"
    command = ["cc", "-O2", "-shared", "-fPIC", "-Wall", "-o", str(built), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True)
    return built


class SyscallFaults:
    """The control file of one process."""

    def __init__(self, path: Path, seed: int = 1) -> None:
        self.path, self.seed = path, seed
        path.write_bytes(bytes(CONTROL_BYTES))
        self._file = path.open("r+b")
        self._control = mmap.mmap(self._file.fileno(), CONTROL_BYTES)

    def environment(self) -> dict[str, str]:
        """Environment variables that the process has to be started with."""
        return {
            "LD_PRELOAD": str(build_library()),
            "SYSCALL_FAULTS_CONTROL": str(self.path),
            "SYSCALL_FAULTS_SEED": str(self.seed),
        }

    def fail(self, call: Call, fault: int, share: float = 1.0, nth: int = 0, delay: float = 0.0) -> None:
        """Applies a fault to a `share` of the calls, or to the `nth` alone: errno or SHORTENED, delay (s)."""
        calls, hits = self.counts(call)
        rule = RULE_STRUCT.pack(fault, round(share * 1e6), nth, round(delay * 1e6), calls, hits)
        self._control[self._rule_offset(call) : self._rule_offset(call) + RULE_STRUCT.size] = rule

    def clear(self, call: Call) -> None:
        """Ends the fault of a call."""
        self.fail(call, 0)

    def counts(self, call: Call) -> tuple[int, int]:
        """Number of calls made, and of those that a fault was applied to."""
        *_, calls, hits = RULE_STRUCT.unpack_from(self._control, self._rule_offset(call))
        return calls, hits

    def step_wall_clock(self, seconds: float) -> None:
        """Sets the offset of the process's wall clock from the true one."""
        WALL_OFFSET_STRUCT.pack_into(self._control, 0, round(seconds * NANOSECONDS))

    def close(self) -> None:
        self._control.close()
        self._file.close()

    @staticmethod
    def _rule_offset(call: Call) -> int:
        return WALL_OFFSET_STRUCT.size + call * RULE_STRUCT.size

"""Stores snapshots as numbered files (generations), each synced under a temporary name and then renamed.

After a crash at any byte the generation before it is intact; the last `KEPT_GENERATIONS` are kept. One
process at a time has the folder. All calls block and belong on a thread of their own. `before_step` is called
before each system call that writes, so that tests can simulate a crash there.
"""

from __future__ import annotations

import fcntl
import os
import stat
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from pointgw.state.records import Snapshot
from pointgw.state.snapshot_format import MAX_FILE_BYTES, DamagedSnapshotError, NewerVersionError, decode

KEPT_GENERATIONS = 2
FILE_PREFIX = "state."  # before the number of the generation
TEMPORARY_NAME = "state-new"  # of a generation until it is synced
LOCK_NAME = "owner"  # lock file, whose text names the process
FILE_MODE = 0o600


class FolderInUseError(Exception):
    """Another process has the folder; the text names the process."""


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The result of reading a folder."""

    snapshot: Snapshot | None
    generation: int  # 0: none
    damaged: tuple[str, ...]  # file names of damaged generations, each with the reason


class SnapshotStore:
    """The snapshots of one folder. `save` needs `claim` first; `load` doesn't."""

    def __init__(self, folder: str, before_step: Callable[[str], None] = lambda name: None) -> None:
        self.folder, self.before_step = folder, before_step
        self.generation = 0
        self.lock_descriptor = -1

    def claim(self, owner: str) -> None:
        """Locks the folder, creating it if missing. Raises `FolderInUseError`, or OSError if unusable."""
        os.makedirs(self.folder, mode=0o700, exist_ok=True)
        folder = self._open_folder()
        try:
            flags = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
            lock = os.open(LOCK_NAME, flags, FILE_MODE, dir_fd=folder)
        finally:
            os.close(folder)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.read(lock, 200).decode("utf-8", "replace").strip()
            os.close(lock)
            raise FolderInUseError(holder or "another process") from None
        os.ftruncate(lock, 0)
        os.pwrite(lock, f"{owner} (process {os.getpid()})\n".encode(), 0)
        self.lock_descriptor = lock

    def release(self) -> None:
        """Unlocks the folder."""
        if self.lock_descriptor >= 0:
            os.close(self.lock_descriptor)
            self.lock_descriptor = -1

    def load(self) -> LoadResult:
        """Reads the newest valid generation; a missing folder has none.

        Raises `NewerVersionError`, or OSError if the folder is unusable."""
        damaged: list[str] = []
        try:
            folder = self._open_folder()
        except FileNotFoundError:
            return LoadResult(None, 0, ())
        try:
            generations = self._generations(folder)
            self.generation = max(generations, default=0)
            for generation in sorted(generations, reverse=True):
                try:
                    return LoadResult(
                        decode(self._read(folder, f"{FILE_PREFIX}{generation}")), generation, tuple(damaged)
                    )
                except (DamagedSnapshotError, OSError) as error:
                    damaged.append(f"{FILE_PREFIX}{generation}: {error}")
        finally:
            os.close(folder)
        return LoadResult(None, 0, tuple(damaged))

    def save(self, data: bytes) -> int:
        """Writes and syncs a new generation; returns its size in bytes. On OSError older ones stay."""
        folder = self._open_folder()
        try:
            with suppress(FileNotFoundError):
                os.unlink(TEMPORARY_NAME, dir_fd=folder)
            self.before_step("open")
            flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
            file = os.open(TEMPORARY_NAME, flags, FILE_MODE, dir_fd=folder)
            try:
                offset = 0
                while offset < len(data):
                    self.before_step("write")
                    offset += os.write(file, data[offset : offset + 65536])
                self.before_step("fsync")
                os.fsync(file)
            finally:
                os.close(file)
            generation = max(self.generation, *self._generations(folder), 0) + 1
            self.before_step("rename")
            os.rename(TEMPORARY_NAME, f"{FILE_PREFIX}{generation}", src_dir_fd=folder, dst_dir_fd=folder)
            self.generation = generation
            self.before_step("fsync folder")
            os.fsync(folder)
            for old in self._generations(folder):
                if old <= generation - KEPT_GENERATIONS:
                    self.before_step("unlink")
                    with suppress(OSError):  # the new generation is already synced; the next save tries again
                        os.unlink(f"{FILE_PREFIX}{old}", dir_fd=folder)
        finally:
            os.close(folder)
        return len(data)

    def _open_folder(self) -> int:
        return os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_NOFOLLOW | os.O_CLOEXEC)

    @staticmethod
    def _generations(folder: int) -> list[int]:
        names = (name[len(FILE_PREFIX) :] for name in os.listdir(folder) if name.startswith(FILE_PREFIX))
        return [int(name) for name in names if name.isdigit() and len(name) < 19]

    @staticmethod
    def _read(folder: int, name: str) -> bytes:
        file = os.open(name, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC, dir_fd=folder)
        try:
            status = os.fstat(file)
            if not stat.S_ISREG(status.st_mode) or status.st_size > MAX_FILE_BYTES:
                raise DamagedSnapshotError("not a regular file, or too large")
            parts = []
            while part := os.read(file, 1 << 20):
                parts.append(part)
            return b"".join(parts)
        finally:
            os.close(file)


__all__ = ["FolderInUseError", "LoadResult", "NewerVersionError", "SnapshotStore"]

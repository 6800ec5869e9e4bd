"""Stores snapshots as numbered files (generations), each synced under a temporary name and then renamed.

After a crash at any byte the generation before it is intact; the last `KEPT_GENERATIONS` are kept. Beside
each generation stands a log of the changes since it was taken (`change_log`), so that a change is durable
before the next generation is written, and an older generation with the logs is as complete as a later one.
One process at a time has the folder. All calls block and belong on a thread of their own. `before_step` is
called before each system call that writes, so that tests can simulate a crash there.
"""

from __future__ import annotations

import fcntl
import os
import stat
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import msgspec

from pointgw.state import change_log
from pointgw.state.change_log import ChangeEntry, ChangeHistory
from pointgw.state.records import ServerRecord, Snapshot
from pointgw.state.snapshot_format import MAX_FILE_BYTES, DamagedSnapshotError, NewerVersionError, decode

KEPT_GENERATIONS = 2
FILE_PREFIX = "state."  # before the number of the generation
CHANGES_PREFIX = "changes."  # before the number of the generation that the changes follow
TEMPORARY_NAME = "state-new"  # of a generation until it is synced
LOCK_NAME = "owner"  # lock file, whose text names the process
FILE_MODE = 0o600
NO_HISTORY = ChangeHistory()


class FolderInUseError(Exception):
    """Another process has the folder; the text names the process."""


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The result of reading a folder."""

    snapshot: Snapshot | None
    generation: int  # 0: none
    damaged: tuple[str, ...]  # file names of damaged generations, each with the reason
    changes: ChangeHistory = NO_HISTORY  # since the snapshot was taken

    @property
    def is_complete(self) -> bool:
        """Whether this is the newest generation that was written, and no change since is lost."""
        return not self.damaged and self.changes.is_complete

    def current(self) -> Snapshot | None:
        """The snapshot with the changes of servers since."""
        if self.snapshot is None:
            return None
        servers = {record.name: record for record in self.snapshot.servers}
        servers |= self.changes.servers(self.snapshot.fingerprint)
        return msgspec.structs.replace(self.snapshot, servers=tuple(servers.values()))


class SnapshotStore:
    """The snapshots of one folder. `save` needs `claim` first; `load` doesn't."""

    def __init__(self, folder: str, before_step: Callable[[str], None] = lambda name: None) -> None:
        self.folder, self.before_step = folder, before_step
        self.generation = 0
        self.last_change_number = 0
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
                    snapshot = decode(self._read(folder, f"{FILE_PREFIX}{generation}"))
                except (DamagedSnapshotError, OSError) as error:
                    damaged.append(f"{FILE_PREFIX}{generation}: {error}")
                else:
                    changes = self._load_changes(folder, generation, damaged)
                    return LoadResult(snapshot, generation, tuple(damaged), changes)
            changes = self._load_changes(folder, 0, damaged)
            return LoadResult(None, 0, tuple(damaged), changes)
        finally:
            os.close(folder)

    def _load_changes(self, folder: int, oldest: int, damaged: list[str]) -> ChangeHistory:
        """Reads the changes since generation `oldest` was taken."""
        entries: list[ChangeEntry] = []
        for generation in sorted(self._generations(folder, CHANGES_PREFIX)):
            try:
                changes = change_log.decode(self._read(folder, f"{CHANGES_PREFIX}{generation}"))
            except (DamagedSnapshotError, OSError) as error:
                damaged.append(f"{CHANGES_PREFIX}{generation}: {error}")
                continue
            self.last_change_number = max(self.last_change_number, changes.last_number)
            if generation >= oldest:
                entries += changes.entries
        return ChangeHistory(tuple(entries))

    def append_changes(self, fingerprint: str, servers: tuple[ServerRecord, ...]) -> int:
        """Appends changes to the log of the newest generation and syncs it; returns the bytes written.

        On OSError the next snapshot is the first to have them."""
        self.last_change_number += 1
        data = change_log.encode(ChangeEntry(self.last_change_number, fingerprint, servers))
        folder = self._open_folder()
        try:
            name = f"{CHANGES_PREFIX}{self.generation}"
            self.before_step("open changes")
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_NOFOLLOW | os.O_CLOEXEC
            file = os.open(name, flags, FILE_MODE, dir_fd=folder)
            try:
                is_new = os.fstat(file).st_size == 0
                self._write_all(file, data, "write changes")
                self.before_step("fsync changes")
                os.fsync(file)
            finally:
                os.close(file)
            if is_new:
                self.before_step("fsync folder of changes")
                os.fsync(folder)
        finally:
            os.close(folder)
        return len(data)

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
                self._write_all(file, data, "write")
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
            self._unlink_old(folder, generation - KEPT_GENERATIONS)
        finally:
            os.close(folder)
        return len(data)

    def _write_all(self, file: int, data: bytes, step: str) -> None:
        offset = 0
        while offset < len(data):
            self.before_step(step)
            offset += os.write(file, data[offset : offset + 65536])

    def _unlink_old(self, folder: int, newest: int) -> None:
        """Deletes the generations up to `newest` and their logs; the next save tries again what fails."""
        for prefix in (FILE_PREFIX, CHANGES_PREFIX):
            for old in self._generations(folder, prefix):
                if old <= newest:
                    self.before_step("unlink")
                    with suppress(OSError):
                        os.unlink(f"{prefix}{old}", dir_fd=folder)

    def _open_folder(self) -> int:
        return os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_NOFOLLOW | os.O_CLOEXEC)

    @staticmethod
    def _generations(folder: int, prefix: str = FILE_PREFIX) -> list[int]:
        names = (name[len(prefix) :] for name in os.listdir(folder) if name.startswith(prefix))
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

"""Whole files in generations: each is written aside, made durable, and only then given its name.

A crash at any byte leaves the generation before it, which is kept until the one after the next. The folder is
held by one process at a time. All calls block: they belong on a thread of their own. `step` is called before
each call of the system that writes, so that tests can die there.
"""

from __future__ import annotations

import fcntl
import os
import stat
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from pointgw.state.records import Snapshot
from pointgw.state.snapshot_format import LARGEST, DamagedSnapshotError, NewerVersionError, decode

KEPT = 2  # generations
PREFIX, ASIDE, OWNER = "state.", "state-new", "owner"
MODE = 0o600


class FolderInUseError(Exception):
    """Another process has the folder; its text names it."""


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What a folder held."""

    snapshot: Snapshot | None
    generation: int  # 0: none
    damaged: tuple[str, ...]  # generations that are damaged, each with why


class SnapshotStore:
    """One folder. `claim` before `save`; `load` needs no claim."""

    def __init__(self, folder: str, step: Callable[[str], None] = lambda name: None) -> None:
        self.folder, self.before_step = folder, step
        self.generation = 0
        self.owner = -1

    def claim(self, who: str) -> None:
        """Raises `FolderInUseError`, or OSError where the folder can't be used."""
        os.makedirs(self.folder, mode=0o700, exist_ok=True)
        place = self._folder()
        try:
            flags = os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC
            held = os.open(OWNER, flags, MODE, dir_fd=place)
        finally:
            os.close(place)
        try:
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            told = os.read(held, 200).decode("utf-8", "replace").strip()
            os.close(held)
            raise FolderInUseError(told or "another process") from None
        os.ftruncate(held, 0)
        os.pwrite(held, f"{who} (process {os.getpid()})\n".encode(), 0)
        self.owner = held

    def release(self) -> None:
        if self.owner >= 0:
            os.close(self.owner)
            self.owner = -1

    def load(self) -> LoadResult:
        """The newest sound generation. Raises `NewerVersionError`; a folder that isn't there holds
        nothing."""
        lost: list[str] = []
        try:
            place = self._folder()
        except FileNotFoundError:
            return LoadResult(None, 0, ())
        try:
            numbers = self._numbers(place)
            self.generation = max(numbers, default=0)
            for number in sorted(numbers, reverse=True):
                try:
                    return LoadResult(decode(self._read(place, f"{PREFIX}{number}")), number, tuple(lost))
                except (DamagedSnapshotError, OSError) as fault:
                    lost.append(f"{PREFIX}{number}: {fault}")
        finally:
            os.close(place)
        return LoadResult(None, 0, tuple(lost))

    def save(self, data: bytes) -> int:
        """Makes a generation durable; gives the bytes written. Raises OSError: the ones before stay."""
        place = self._folder()
        try:
            with suppress(FileNotFoundError):
                os.unlink(ASIDE, dir_fd=place)
            self.before_step("open")
            flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_NOFOLLOW | os.O_CLOEXEC
            file = os.open(ASIDE, flags, MODE, dir_fd=place)
            try:
                at = 0
                while at < len(data):
                    self.before_step("write")
                    at += os.write(file, data[at : at + 65536])
                self.before_step("fsync")
                os.fsync(file)
            finally:
                os.close(file)
            number = max(self.generation, *self._numbers(place), 0) + 1
            self.before_step("rename")
            os.rename(ASIDE, f"{PREFIX}{number}", src_dir_fd=place, dst_dir_fd=place)
            self.generation = number
            self.before_step("fsync folder")
            os.fsync(place)
            for old in self._numbers(place):
                if old <= number - KEPT:
                    self.before_step("unlink")
                    with suppress(OSError):  # what was saved is durable; the next save tries again
                        os.unlink(f"{PREFIX}{old}", dir_fd=place)
        finally:
            os.close(place)
        return len(data)

    def _folder(self) -> int:
        return os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_NOFOLLOW | os.O_CLOEXEC)

    @staticmethod
    def _numbers(place: int) -> list[int]:
        names = (name[len(PREFIX) :] for name in os.listdir(place) if name.startswith(PREFIX))
        return [int(name) for name in names if name.isdigit() and len(name) < 19]

    @staticmethod
    def _read(place: int, name: str) -> bytes:
        file = os.open(name, os.O_RDONLY | os.O_NOFOLLOW | os.O_CLOEXEC, dir_fd=place)
        try:
            about = os.fstat(file)
            if not stat.S_ISREG(about.st_mode) or about.st_size > LARGEST:
                raise DamagedSnapshotError("not a plain file of a size that was ever written")
            parts = []
            while part := os.read(file, 1 << 20):
                parts.append(part)
            return b"".join(parts)
        finally:
            os.close(file)


__all__ = ["FolderInUseError", "LoadResult", "NewerVersionError", "SnapshotStore"]

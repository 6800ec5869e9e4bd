"""What each part of a rig writes down, a line of JSON each. Times: the machine's monotonic clock."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Literal

import msgspec


class Record(msgspec.Struct, frozen=True, tag_field="is", tag=str.lower):
    t: float


class Asked(Record, frozen=True):
    """A client has sent its first line."""

    name: str  # the tunnel's id, new with each try
    client: int
    intended: float  # when this try was to come
    balancer: int
    profile: int
    patience: float
    tries: int
    back: bool  # its tunnel broke or was moved


class Answered(Record, frozen=True):
    """A client's final answer, or none in time, or an end without one."""

    name: str
    how: Literal["opened", "declined", "failed", "none", "lost"]
    line: str = ""


class Further(Record, frozen=True):
    """Something came after the last answer, or a line that no server made."""

    name: str
    line: str


class Ended(Record, frozen=True):
    """An open tunnel has ended, as its client saw it."""

    name: str
    how: Literal["own", "moved", "bye", "lost"]


class Second(Record, frozen=True):
    """Credit asked and earned in one second, by profile."""

    asked: list[float]
    served: list[float]
    open: int


class Took(Record, frozen=True):
    """A server has read a setup's whole line; `began` is when its connection stood."""

    server: str
    balancer: int
    name: str
    began: float
    start: int  # the server's starts so far


class Said(Record, frozen=True):
    """A server's answer to a setup: UP RECEIPT, BUSY or ERR."""

    server: str
    name: str
    line: str


class Gone(Record, frozen=True):
    """A setup or tunnel has ended at its server."""

    server: str
    name: str
    by: Literal["server", "balancer"]


class State(Record, frozen=True):
    """How a server stands, each second."""

    server: str
    load: float
    tunnels: int
    piled: float
    health: str
    warmth: float


class Started(Record, frozen=True):
    server: str
    start: int
    cold: bool


class Fell(Record, frozen=True):
    """A cold server was pushed over."""

    server: str
    came: int
    budget: float


class Changed(Record, frozen=True):
    """Discovery knows of a change."""

    server: str
    status: str
    index: int


class Wrote(Record, frozen=True):
    """Discovery has written its list, or changes, to a balancer."""

    balancer: int
    index: int
    statuses: dict[str, str]
    whole: bool


class Balancer(Record, frozen=True):
    """What the rig did with a balancer, or saw of it."""

    number: int
    what: Literal[
        "started", "serving", "killed", "stopping", "ended", "reloaded", "paused", "resumed", "died"
    ]


class Mark(Record, frozen=True):
    """A trouble begins or ends."""

    number: int
    what: str
    which: list[int]
    ends: bool


class Talk(Record, frozen=True):
    """What one balancer has sent to others, each second that it sent anything."""

    balancer: int
    datagrams: int
    size: int  # bytes


class Strain(Record, frozen=True):
    """How a part of the rig fared itself, each second."""

    who: str
    lag: float  # seconds that its loop was late, at most
    cpu: float  # share of a core


class Machine(Record, frozen=True):
    """The machine under all of it, each second."""

    idle: float  # share of its cores that did nothing


AnyRecord = (
    Asked | Answered | Further | Ended | Second | Took | Said | Gone | State | Started | Fell | Changed
    | Wrote | Balancer | Mark | Talk | Strain | Machine
)  # fmt: skip
_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)


class Writer:
    """Appends records to a file. Each is written at once: a killed process leaves whole lines."""

    def __init__(self, path: str) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def write(self, record: AnyRecord) -> None:
        os.write(self._file, _encoder.encode(record) + b"\n")

    def close(self) -> None:
        os.close(self._file)


def read(folder: Path) -> list[AnyRecord]:
    """All records of a run, in order of time. A last line that was cut off by a kill is left out."""
    found: list[AnyRecord] = []
    for path in sorted(folder.glob("*.jsonl")):
        found += _read_lines(path)
    return sorted(found, key=lambda record: record.t)


def _read_lines(path: Path) -> Iterator[AnyRecord]:
    for line in path.read_bytes().splitlines():
        try:
            yield _decoder.decode(line)
        except msgspec.DecodeError:
            if not line.endswith(b"}"):
                continue
            raise

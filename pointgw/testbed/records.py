"""Records that the processes of a run write, one line of JSON each. Times: the machine's monotonic clock."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path
from typing import Literal

import msgspec


class Record(msgspec.Struct, frozen=True, tag_field="is", tag=str.lower):
    """Base of all records. The key `is` holds the class name in lower case."""

    t: float  # when it happened


class Asked(Record, frozen=True):
    """A client sent the first line of a tunnel request."""

    name: str  # the tunnel's id, new with each attempt
    client: int
    intended: float  # when this attempt was due
    balancer: int
    profile: int  # index of the profile in the scenario
    patience: float  # seconds; client timeout
    tries: int  # attempts before this one
    back: bool  # returning: its tunnel broke or was moved


class Answered(Record, frozen=True):
    """A client received its final answer, or none in time, or its connection ended without one."""

    name: str
    how: Literal["opened", "declined", "failed", "none", "lost"]
    line: str = ""


class Further(Record, frozen=True):
    """A client received a line after the final answer, or one that no server sends."""

    name: str
    line: str


class Ended(Record, frozen=True):
    """An open tunnel ended at its client."""

    name: str
    how: Literal["own", "moved", "bye", "lost"]


class Second(Record, frozen=True):
    """Credit that all clients asked for and earned in one second, by profile."""

    asked: list[float]
    served: list[float]
    open: int  # open tunnels


class Took(Record, frozen=True):
    """A server received the whole line of a setup."""

    server: str
    balancer: int
    name: str
    began: float  # when its connection was accepted
    start: int  # number of the server's start, from 1


class Said(Record, frozen=True):
    """A server answered a setup with UP RECEIPT, BUSY or ERR."""

    server: str
    name: str
    line: str


class Gone(Record, frozen=True):
    """A setup or open tunnel ended at its server."""

    server: str
    name: str
    by: Literal["server", "balancer"]


class State(Record, frozen=True):
    """State of a server, each second."""

    server: str
    load: float  # work asked for a second, relative to capacity
    tunnels: int
    piled: float  # backlog, in work
    health: str
    warmth: float  # share of the full capacity by slow start


class Started(Record, frozen=True):
    """A server started."""

    server: str
    start: int  # number of its starts so far, from 1
    cold: bool


class Fell(Record, frozen=True):
    """A cold server was overloaded."""

    server: str
    came: int  # setups within the overload window
    budget: float  # setups that it can take in that window


class Changed(Record, frozen=True):
    """The status of a server changed at discovery."""

    server: str
    status: str
    index: int


class Wrote(Record, frozen=True):
    """Discovery wrote its list, or changes to it, to a balancer."""

    balancer: int
    index: int
    statuses: dict[str, str]  # by server
    whole: bool  # the whole list


class Balancer(Record, frozen=True):
    """What the run did to a balancer process, or observed of it."""

    number: int
    what: Literal[
        "started", "serving", "killed", "stopping", "ended", "reloaded", "paused", "resumed", "died"
    ]


class InternalError(Record, frozen=True):
    """A balancer logged an invariant violation or an internal error; found at the end of the run."""

    number: int
    line: str  # the first such line of its log


class Mark(Record, frozen=True):
    """A trouble of the scenario begins or ends."""

    number: int  # its index in the scenario
    what: str
    which: list[int]  # numbers of the balancers or servers concerned
    ends: bool


class Talk(Record, frozen=True):
    """Datagrams that a balancer sent to others, for each second in which it sent any."""

    balancer: int
    datagrams: int
    size: int  # bytes


class Strain(Record, frozen=True):
    """Lag and processor use of a process of the testbed, each second."""

    who: str  # name of the process
    lag: float  # greatest lag of its event loop in that second, in seconds
    cpu: float  # share of a core


class Machine(Record, frozen=True):
    """Load of the machine, each second."""

    idle: float  # share of its processor time that was idle


AnyRecord = (
    Asked | Answered | Further | Ended | Second | Took | Said | Gone | State | Started | Fell | Changed
    | Wrote | Balancer | InternalError | Mark | Talk | Strain | Machine
)  # fmt: skip
_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)


class Writer:
    """Appends records to a file, each in one unbuffered write: a killed process leaves whole lines."""

    def __init__(self, path: str) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def write(self, record: AnyRecord) -> None:
        """Appends a record."""
        os.write(self._file, _encoder.encode(record) + b"\n")

    def close(self) -> None:
        """Closes the file."""
        os.close(self._file)


def read(folder: Path) -> list[AnyRecord]:
    """Reads all records of a run, in order of time. A line cut off by a kill is skipped.

    Raises msgspec.DecodeError on any other line that is not a record.
    """
    records: list[AnyRecord] = []
    for path in sorted(folder.glob("*.jsonl")):
        records += _read_lines(path)
    return sorted(records, key=lambda record: record.t)


def _read_lines(path: Path) -> Iterator[AnyRecord]:
    for line in path.read_bytes().splitlines():
        try:
            yield _decoder.decode(line)
        except msgspec.DecodeError:
            if not line.endswith(b"}"):
                continue
            raise

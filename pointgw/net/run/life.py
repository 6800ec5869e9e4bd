"""A connection's life: its stages, and what each step says of the request on it. No I/O.

A client's connection rests until its line has come; then the tunnel is asked for, joined to its server's, and
ended. A server's is dialled, written to, answered and joined. `Life.to` is the one place where a stage
changes; that the request was written is known from the step that writes it and from nothing else.
"""

from __future__ import annotations

from enum import Enum

from pointgw.interface import Ending


class Stage(Enum):
    """Where a connection stands."""

    IDLE = "idle"  # a client's: nothing was asked for
    ASKED = "asked"  # a client's: its tunnel was asked for and is not answered
    DIALLING = "dialling"  # a server's: it is not up, or up and not a byte of the request was written
    WRITTEN = "written"  # a server's: the request was handed to the system
    ANSWERED = "answered"  # a server's: it took the tunnel, and the client was not told yet
    JOINED = "joined"  # lines pass both ways
    HALF_CLOSED = "half-closed"  # our last byte is on its way; what still comes is read and dropped
    ENDED = "ended"


class Known(Enum):
    """What is known of the request on a server's connection."""

    NOT_SENT = "not sent"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


NEXT = {
    Stage.IDLE: (Stage.ASKED, Stage.HALF_CLOSED, Stage.ENDED),
    Stage.ASKED: (Stage.JOINED, Stage.HALF_CLOSED, Stage.ENDED),
    Stage.DIALLING: (Stage.WRITTEN, Stage.ENDED),
    Stage.WRITTEN: (Stage.ANSWERED, Stage.ENDED),
    Stage.ANSWERED: (Stage.JOINED, Stage.ENDED),
    Stage.JOINED: (Stage.HALF_CLOSED, Stage.ENDED),
    Stage.HALF_CLOSED: (Stage.ENDED,),
    Stage.ENDED: (),
}
TELLS = {Stage.WRITTEN: Known.MAY_HAVE_RUN, Stage.ANSWERED: Known.RAN}
OVER = (Stage.HALF_CLOSED, Stage.ENDED)


class Life:
    """The stage of one connection, and what is known of the request on it."""

    __slots__ = ("known", "stage")

    def __init__(self, stage: Stage) -> None:
        self.stage, self.known = stage, Known.NOT_SENT

    def to(self, stage: Stage) -> None:
        """Raises ValueError on a step that there is not."""
        if stage not in NEXT[self.stage]:
            raise ValueError(f"a connection that is {self.stage.value} cannot become {stage.value}")
        self.stage, self.known = stage, TELLS.get(stage, self.known)

    @property
    def over(self) -> bool:
        """Nothing is said on it any more, and nothing that is read on it counts."""
        return self.stage in OVER

    def late(self) -> Ending:
        """How a setup ends whose time is over."""
        return "no-connection" if self.known is Known.NOT_SENT else "timeout"

    def broken(self) -> Ending:
        """How a setup ends whose connection is gone, where the server has not said why."""
        return "no-connection" if self.known is Known.NOT_SENT else "reset"

"""A connection's life: its stages, and what each step says of the request on it. No I/O.

A client's connection rests until its line has come; then the tunnel is asked for, joined to its server's, and
ended. A server's is dialled, written to, answered and joined. `ConnectionLifecycle.transition_to` is the
one place where a stage changes; that the request was written is known from the step that writes it and from
nothing else.
"""

from __future__ import annotations

from enum import Enum

from pointgw.interface import Ending


class ConnectionState(Enum):
    """Where a connection stands."""

    IDLE = "idle"  # a client's: nothing was asked for
    ASKED = "asked"  # a client's: its tunnel was asked for and is not answered
    DIALLING = "dialling"  # a server's: it is not up, or up and not a byte of the request was written
    WRITTEN = "written"  # a server's: the request was handed to the system
    ANSWERED = "answered"  # a server's: it took the tunnel, and the client was not told yet
    JOINED = "joined"  # lines pass both ways
    HALF_CLOSED = "half-closed"  # our last byte is on its way; what still comes is read and dropped
    ENDED = "ended"


class DeliveryState(Enum):
    """What is known of the request on a server's connection."""

    NOT_SENT = "not sent"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


NEXT = {
    ConnectionState.IDLE: (ConnectionState.ASKED, ConnectionState.HALF_CLOSED, ConnectionState.ENDED),
    ConnectionState.ASKED: (ConnectionState.JOINED, ConnectionState.HALF_CLOSED, ConnectionState.ENDED),
    ConnectionState.DIALLING: (ConnectionState.WRITTEN, ConnectionState.ENDED),
    ConnectionState.WRITTEN: (ConnectionState.ANSWERED, ConnectionState.ENDED),
    ConnectionState.ANSWERED: (ConnectionState.JOINED, ConnectionState.ENDED),
    ConnectionState.JOINED: (ConnectionState.HALF_CLOSED, ConnectionState.ENDED),
    ConnectionState.HALF_CLOSED: (ConnectionState.ENDED,),
    ConnectionState.ENDED: (),
}
TELLS = {ConnectionState.WRITTEN: DeliveryState.MAY_HAVE_RUN, ConnectionState.ANSWERED: DeliveryState.RAN}
OVER = (ConnectionState.HALF_CLOSED, ConnectionState.ENDED)


class ConnectionLifecycle:
    """The stage of one connection, and what is known of the request on it."""

    __slots__ = ("delivery", "state")

    def __init__(self, stage: ConnectionState) -> None:
        self.state, self.delivery = stage, DeliveryState.NOT_SENT

    def transition_to(self, stage: ConnectionState) -> None:
        """Raises ValueError on a step that there is not."""
        if stage not in NEXT[self.state]:
            raise ValueError(f"a connection that is {self.state.value} cannot become {stage.value}")
        self.state, self.delivery = stage, TELLS.get(stage, self.delivery)

    @property
    def over(self) -> bool:
        """Nothing is said on it any more, and nothing that is read on it counts."""
        return self.state in OVER

    def timeout_ending(self) -> Ending:
        """How a setup ends whose time is over."""
        return "no-connection" if self.delivery is DeliveryState.NOT_SENT else "timeout"

    def disconnect_ending(self) -> Ending:
        """How a setup ends whose connection is gone, where the server has not said why."""
        return "no-connection" if self.delivery is DeliveryState.NOT_SENT else "reset"

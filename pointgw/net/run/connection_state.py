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
    REQUESTED = "asked"  # a client's: its tunnel was asked for and is not answered
    CONNECTING = "dialling"  # a server's: it is not up, or up and not a byte of the request was written
    REQUEST_SENT = "written"  # a server's: the request was handed to the system
    ANSWERED = "answered"  # a server's: it took the tunnel, and the client was not told yet
    RELAYING = "joined"  # lines pass both ways
    HALF_CLOSED = "half-closed"  # our last byte is on its way; what still comes is read and dropped
    CLOSED = "ended"


class DeliveryState(Enum):
    """What is known of the request on a server's connection."""

    NOT_SENT = "not sent"
    MAY_HAVE_RUN = "may have run"
    RAN = "ran"


TRANSITIONS = {
    ConnectionState.IDLE: (ConnectionState.REQUESTED, ConnectionState.HALF_CLOSED, ConnectionState.CLOSED),
    ConnectionState.REQUESTED: (
        ConnectionState.RELAYING,
        ConnectionState.HALF_CLOSED,
        ConnectionState.CLOSED,
    ),
    ConnectionState.CONNECTING: (ConnectionState.REQUEST_SENT, ConnectionState.CLOSED),
    ConnectionState.REQUEST_SENT: (ConnectionState.ANSWERED, ConnectionState.CLOSED),
    ConnectionState.ANSWERED: (ConnectionState.RELAYING, ConnectionState.CLOSED),
    ConnectionState.RELAYING: (ConnectionState.HALF_CLOSED, ConnectionState.CLOSED),
    ConnectionState.HALF_CLOSED: (ConnectionState.CLOSED,),
    ConnectionState.CLOSED: (),
}
DELIVERY_AFTER = {
    ConnectionState.REQUEST_SENT: DeliveryState.MAY_HAVE_RUN,
    ConnectionState.ANSWERED: DeliveryState.RAN,
}
CLOSING_STATES = (ConnectionState.HALF_CLOSED, ConnectionState.CLOSED)


class ConnectionLifecycle:
    """The stage of one connection, and what is known of the request on it."""

    __slots__ = ("delivery", "state")

    def __init__(self, initial: ConnectionState) -> None:
        self.state, self.delivery = initial, DeliveryState.NOT_SENT

    def transition_to(self, target: ConnectionState) -> None:
        """Raises ValueError on a step that there is not."""
        if target not in TRANSITIONS[self.state]:
            raise ValueError(f"a connection that is {self.state.value} cannot become {target.value}")
        self.state, self.delivery = target, DELIVERY_AFTER.get(target, self.delivery)

    @property
    def is_closing(self) -> bool:
        """Nothing is said on it any more, and nothing that is read on it counts."""
        return self.state in CLOSING_STATES

    def timeout_ending(self) -> Ending:
        """How a setup ends whose time is over."""
        return "no-connection" if self.delivery is DeliveryState.NOT_SENT else "timeout"

    def disconnect_ending(self) -> Ending:
        """How a setup ends whose connection is gone, where the server has not said why."""
        return "no-connection" if self.delivery is DeliveryState.NOT_SENT else "reset"

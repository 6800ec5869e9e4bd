"""States of client and server connections, and what each transition says of the request's delivery. No I/O.

A client's connection: idle, requested, relaying, closed. A server's: connecting, request sent, answered,
relaying, closed. Only `ConnectionLifecycle.transition_to` changes a state. Whether a request may have run at
the server follows only from the transition made as it is written.
"""

from __future__ import annotations

from enum import Enum

from pointgw.interface import Ending


class ConnectionState(Enum):
    """State of a client's or a server's connection."""

    IDLE = "idle"  # client: no request has come
    REQUESTED = "requested"  # client: its request has come and is not answered
    CONNECTING = "connecting"  # server: not up yet, or up without any byte of the request written
    REQUEST_SENT = "request sent"  # server: the request was handed to the operating system
    ANSWERED = "answered"  # server: it has opened the tunnel, and the client was not answered yet
    RELAYING = "relaying"  # lines pass both ways
    HALF_CLOSED = "half-closed"  # the last line and our end were sent; what is still received is discarded
    CLOSED = "closed"


class DeliveryState(Enum):
    """Whether the request on a server's connection may have had an effect there."""

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
    """The state of one connection, and of the delivery of the request on it."""

    __slots__ = ("delivery", "state")

    def __init__(self, initial: ConnectionState) -> None:
        self.state, self.delivery = initial, DeliveryState.NOT_SENT

    def transition_to(self, target: ConnectionState) -> None:
        """Raises ValueError where there is no such transition."""
        if target not in TRANSITIONS[self.state]:
            raise ValueError(f"connection state {self.state.value} cannot become {target.value}")
        self.state, self.delivery = target, DELIVERY_AFTER.get(target, self.delivery)

    @property
    def is_closing(self) -> bool:
        """Nothing more is written to it, and what is read is discarded."""
        return self.state in CLOSING_STATES

    def timeout_ending(self) -> Ending:
        """The ending of a setup that exceeds its timeout."""
        return "no-connection" if self.delivery is DeliveryState.NOT_SENT else "timeout"

    def disconnect_ending(self) -> Ending:
        """The ending of a setup whose connection breaks without a last line from the server."""
        return "no-connection" if self.delivery is DeliveryState.NOT_SENT else "reset"

"""Listen addresses of a testbed's processes. No I/O.

Every run has a second octet of 127.0.0.0/8 of its own, so that concurrent runs don't collide. A server has an
address for each balancer, so that it can tell which one connects; a disturbed link has a fault proxy in it.
"""

from __future__ import annotations

from dataclasses import dataclass

SERVER_PORT = 9000
BALANCER_PORT = 8443
DISCOVERY_PORT = 8500
PEER_PORT = 7946
FIRST_OCTET = 64  # lowest second octet of a run
OCTET_COUNT = 128  # number of second octets that runs use

Address = tuple[str, int]  # host and port


@dataclass(frozen=True, slots=True)
class AddressPlan:
    """Addresses of one run. Servers and balancers are numbered from 0."""

    run: int  # any number, such as a process id

    def _ip(self, third: int, fourth: int) -> str:
        return f"127.{FIRST_OCTET + self.run % OCTET_COUNT}.{third}.{fourth}"

    def server(self, server: int, balancer: int) -> Address:
        """Where a server listens for one balancer."""
        return self._ip(1 + balancer, 1 + server), SERVER_PORT

    def server_proxy(self, server: int, balancer: int) -> Address:
        """Where the fault proxy between a balancer and a server listens."""
        return self._ip(101 + balancer, 1 + server), SERVER_PORT

    def balancer(self, balancer: int) -> Address:
        return self._ip(255, 1 + balancer), BALANCER_PORT

    def balancer_proxy(self, balancer: int) -> Address:
        """Where the fault proxy between the clients and a balancer listens."""
        return self._ip(253, 1 + balancer), BALANCER_PORT

    def peer(self, balancer: int) -> Address:
        """Where a balancer listens for datagrams of its peers."""
        return self._ip(255, 1 + balancer), PEER_PORT

    def peer_proxy(self, balancer: int, to: int) -> Address:
        """Where a balancer reaches another one: the fault proxy of that direction."""
        return self._ip(1 + balancer, 1 + to), PEER_PORT

    def discovery(self, balancer: int) -> Address:
        """Where discovery listens for one balancer."""
        return self._ip(254, 1 + balancer), DISCOVERY_PORT


def format_address(address: Address) -> str:
    """An address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"

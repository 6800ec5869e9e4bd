"""Peers that send or read without regard for the balancer between them, each a process of its own.

    flood_peers.py server WHAT          prints its port; WHAT: sink, echo, stall, or a line to repeat
    flood_peers.py client HOST PORT COUNT LINE

A tunnel whose request has the key `flood` gets this treatment; others are accepted and left alone, and probes
are answered.
"""

from __future__ import annotations

import socket
import sys
import threading
import time
from contextlib import suppress

BLOCK_BYTES = 256 * 1024
READ_BYTES = 1024 * 1024
FLOOD_MARK = b" flood "
REQUEST = "OPEN f{number} flood c=chat,t=acme,d=1500,g=5c0f\r\n"


def block_of(line: str) -> bytes:
    """A block of whole lines, each as given."""
    repeated = line.encode() + b"\r\n"
    return repeated * (BLOCK_BYTES // len(repeated))


def read_all(connection: socket.socket) -> None:
    while connection.recv(READ_BYTES):
        pass


def send_forever(connection: socket.socket, block: bytes) -> None:
    with suppress(OSError):
        while True:
            connection.sendall(block)


def serve_connection(connection: socket.socket, what: str) -> None:
    with suppress(OSError), connection:
        request = b""
        while not request.endswith(b"\n"):
            request += connection.recv(READ_BYTES)
        if request.startswith(b"STATS"):
            connection.sendall(b"PONG x0=0.1,util=0.1\r\n")
            while connection.recv(READ_BYTES):
                connection.sendall(b"PONG x0=0.1,util=0.1\r\n")
            return
        connection.sendall(b"UP r-1\r\n")
        if FLOOD_MARK not in request or what == "sink":
            read_all(connection)
        elif what == "echo":
            while data := connection.recv(READ_BYTES):
                connection.sendall(data)
        elif what == "stall":  # reads nothing, sends what the way takes
            send_forever(connection, block_of("y" * 1000))
        else:
            threading.Thread(target=send_forever, args=(connection, block_of(what)), daemon=True).start()
            read_all(connection)


def serve(what: str) -> None:
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    print(listener.getsockname()[1], flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve_connection, args=(connection, what), daemon=True).start()


def open_tunnel(address: tuple[str, int], number: int) -> socket.socket:
    connection = socket.create_connection(address)
    connection.sendall(REQUEST.format(number=number).encode())
    assert connection.recv(3) == b"UP "
    return connection


def run_clients(address: tuple[str, int], count: int, line: str) -> None:
    """Opens `count` tunnels, prints a line, and floods each with `line`; a single one reads, too."""
    connections = [open_tunnel(address, number) for number in range(count)]
    print(len(connections), flush=True)
    if count == 1:
        threading.Thread(target=read_all, args=connections, daemon=True).start()
    for connection in connections if line else ():
        threading.Thread(target=send_forever, args=(connection, block_of(line)), daemon=True).start()
    while True:
        time.sleep(1.0)


if __name__ == "__main__":
    if sys.argv[1] == "server":
        serve(sys.argv[2])
    else:
        run_clients((sys.argv[2], int(sys.argv[3])), int(sys.argv[4]), sys.argv[5])

"""What several commands share."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import click

from pointgw import validation


class Address(click.ParamType[tuple[str, int]]):
    """HOST:PORT on loopback; nothing else is spoken to."""

    name = "HOST:PORT"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[str, int]:
        if isinstance(value, tuple):
            return value
        host, _, port = str(value).rpartition(":")
        if not host.startswith("127.") or not port.isdigit() or int(port) > 65535:
            self.fail(f"expected HOST:PORT with a host in 127.0.0.0/8, got {value!r}", param, ctx)
        return host, int(port)


@contextmanager
def report_invalid_file() -> Iterator[None]:
    """A file with faults: a line for each, and exit 2."""
    try:
        yield
    except validation.InvalidFileError as told:
        for fault in told.problems:
            click.echo(f"pointgw: {fault.message(told.file)}", err=True)
        raise click.exceptions.Exit(2) from None

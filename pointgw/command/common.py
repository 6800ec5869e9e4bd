"""Parameter types and error handling that several commands share."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import click

from pointgw import validation


class Address(click.ParamType[tuple[str, int]]):
    """HOST:PORT with a loopback host; other addresses are rejected."""

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
    """On `InvalidFileError`, prints a line for each problem and exits with code 2."""
    try:
        yield
    except validation.InvalidFileError as error:
        for problem in error.problems:
            click.echo(f"pointgw: {problem.message(error.file)}", err=True)
        raise click.exceptions.Exit(2) from None

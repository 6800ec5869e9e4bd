"""`pointgw tier`: shows the cluster as one balancer sees it, from the status file that it writes."""

from __future__ import annotations

import json
import os
import time
from typing import Any

import click
import msgspec

MAX_AGE_SECONDS = 5.0  # of a status file whose balancer still runs


def show(path: str, as_json: bool) -> int:
    """Prints a status file; returns the exit code. 1: it can't be read, or is old."""
    try:
        age = time.time() - os.stat(path).st_mtime
        with open(path, "rb") as file:
            status = msgspec.json.decode(file.read(), type=dict[str, Any])
        lines = rows(status)
    except OSError as error:
        click.echo(f"pointgw tier: {path}: expected a file that can be read ({error.strerror})", err=True)
        return 1
    except (msgspec.DecodeError, KeyError, TypeError, AttributeError) as error:
        click.echo(f"pointgw tier: {path}: expected a status file of a balancer ({error})", err=True)
        return 1
    click.echo(json.dumps(status | {"age": age}) if as_json else "\n".join(lines))
    if age > MAX_AGE_SECONDS:
        click.echo(f"pointgw tier: {path}: {age:.0f} s old: the balancer no longer writes it", err=True)
    return 1 if age > MAX_AGE_SECONDS else 0


def rows(status: dict[str, Any]) -> list[str]:
    """The status as lines of text."""
    absent = [f"{n} {state}" for n, state in status["members"].items() if state != "alive"]
    lines = [
        f"balancer {status['me']}: {status['there']} of {status['of']} alive"
        + (f" ({', '.join(absent)})" if absent else "")
        + f", term {status['term']}, closed {status['closed']}, doubt {status['doubt']},"
        f" other maps {status['other_maps']}",
    ]
    for zone, figures in status["zones"].items():
        text = "  ".join(f"{name} {figure:6.2f}" for name, figure in figures.items())
        lines.append(f"  zone {zone:<12} {text}   (average warm servers)")
    for profile, shares in status["shares"].items():
        declined = 1.0 - sum(shares.values())
        text = "  ".join(f"{zone} {share:5.3f}" for zone, share in shares.items())
        lines.append(f"  {profile:<17} {text}   declined {max(0.0, declined):5.3f}")
    figures = status["figures"]
    lines.append("  " + "  ".join(f"{name} {figures[name]}" for name in sorted(figures)))
    return lines

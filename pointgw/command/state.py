"""`pointgw state`: reads snapshots on disk without locking their folder."""

from __future__ import annotations

import json
import time

import click
import msgspec

from pointgw.state.restore import rows
from pointgw.state.snapshot_format import NewerVersionError
from pointgw.state.snapshot_store import LoadResult, SnapshotStore


def _load(folder: str) -> LoadResult | None:
    """Reads a folder; None, after printing the reason, if it can't be used."""
    try:
        return SnapshotStore(folder).load()
    except NewerVersionError as error:
        click.echo(f"pointgw state: {folder}: left untouched: {error}", err=True)
    except OSError as error:
        why = f"expected a folder that can be read ({error.strerror})"
        click.echo(f"pointgw state: {folder}: {why}", err=True)
    return None


def _report_damage(folder: str, found: LoadResult) -> bool:
    """Prints the damaged generations; whether there are any."""
    for damage in found.damaged:
        click.echo(f"pointgw state: {folder}: damaged: {damage}", err=True)
    return bool(found.damaged)


def show(folder: str, as_json: bool) -> int:
    """Prints the newest valid generation, record by record; returns the exit code."""
    found = _load(folder)
    if found is None or found.snapshot is None:
        if found is not None and not _report_damage(folder, found):
            click.echo(f"pointgw state: {folder}: expected a snapshot, found none", err=True)
        return 1
    snapshot, now = found.snapshot, time.time()
    entries = rows(snapshot, now)
    if as_json:
        head = {
            "generation": found.generation,
            "age": now - snapshot.written_at,
            "clean": snapshot.clean_stop,
        }
        click.echo(json.dumps(head | {"entries": entries, "lost": list(found.damaged)}))
    else:
        stop = "at a regular stop" if snapshot.clean_stop else "while serving"
        click.echo(f"generation {found.generation}, written {now - snapshot.written_at:.1f} s ago {stop}")
        for row in entries:
            click.echo(
                f"{row['server']!s:<24} {row['state']!s:<8} age {row['age']:>10} s  trust {row['trust']:<5}"
                f"  {row['standing']}: {row['why']}"
            )
    return 1 if _report_damage(folder, found) else 0


def check(folder: str) -> int:
    """Checks every generation; returns the exit code."""
    found = _load(folder)
    if found is None:
        return 1
    damaged = _report_damage(folder, found)
    if found.snapshot is None:
        click.echo(f"{folder}: no valid generation")
        return 1
    click.echo(f"{folder}: generation {found.generation} is valid, {len(found.snapshot.servers)} records")
    return 1 if damaged else 0


def export(folder: str) -> int:
    """Prints the newest valid generation as JSON; returns the exit code."""
    found = _load(folder)
    if found is None or found.snapshot is None:
        return 1
    click.echo(msgspec.json.encode(msgspec.to_builtins(found.snapshot)).decode())
    return 1 if _report_damage(folder, found) else 0

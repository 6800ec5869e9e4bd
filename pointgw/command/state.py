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


def _report_damage(folder: str, loaded: LoadResult) -> bool:
    """Prints the damaged generations; whether there are any."""
    for damage in loaded.damaged:
        click.echo(f"pointgw state: {folder}: damaged: {damage}", err=True)
    return bool(loaded.damaged)


def show(folder: str, as_json: bool) -> int:
    """Prints the newest valid generation with the changes since, record by record; returns the exit code."""
    loaded = _load(folder)
    snapshot = loaded.current() if loaded is not None else None
    if loaded is None or snapshot is None:
        if loaded is not None and not _report_damage(folder, loaded):
            click.echo(f"pointgw state: {folder}: expected a snapshot, found none", err=True)
        return 1
    now = time.time()
    entries = rows(snapshot, now)
    if as_json:
        head = {
            "generation": loaded.generation,
            "age": now - snapshot.written_at,
            "clean": snapshot.clean_stop,
        }
        click.echo(json.dumps(head | {"entries": entries, "lost": list(loaded.damaged)}))
    else:
        stop = "at a regular stop" if snapshot.clean_stop else "while serving"
        click.echo(f"generation {loaded.generation}, written {now - snapshot.written_at:.1f} s ago {stop}")
        for row in entries:
            click.echo(
                f"{row['server']!s:<24} {row['state']!s:<8} age {row['age']:>10} s  trust {row['trust']:<5}"
                f"  {row['standing']}: {row['why']}"
            )
    return 1 if _report_damage(folder, loaded) else 0


def check(folder: str) -> int:
    """Checks every generation; returns the exit code."""
    loaded = _load(folder)
    if loaded is None:
        return 1
    damaged = _report_damage(folder, loaded)
    if loaded.snapshot is None:
        click.echo(f"{folder}: no valid generation")
        return 1
    click.echo(f"{folder}: generation {loaded.generation} is valid, {len(loaded.snapshot.servers)} records")
    return 1 if damaged else 0


def export(folder: str) -> int:
    """Prints the newest valid generation with the changes since, as JSON; returns the exit code."""
    loaded = _load(folder)
    snapshot = loaded.current() if loaded is not None else None
    if loaded is None or snapshot is None:
        return 1
    click.echo(msgspec.json.encode(msgspec.to_builtins(snapshot)).decode())
    return 1 if _report_damage(folder, loaded) else 0

"""`pointgw state`: what a memory on disk holds, read without claiming it."""

from __future__ import annotations

import json
import time

import click
import msgspec

from pointgw.state.restore import rows
from pointgw.state.snapshot_format import NewerVersionError
from pointgw.state.snapshot_store import LoadResult, SnapshotStore


def _load(folder: str) -> LoadResult | None:
    try:
        return SnapshotStore(folder).load()
    except NewerVersionError as fault:
        click.echo(f"pointgw state: {folder}: left untouched: {fault}", err=True)
    except OSError as fault:
        why = f"expected a folder that can be read ({fault.strerror})"
        click.echo(f"pointgw state: {folder}: {why}", err=True)
    return None


def _damage(folder: str, found: LoadResult) -> bool:
    for what in found.damaged:
        click.echo(f"pointgw state: {folder}: damaged: {what}", err=True)
    return bool(found.damaged)


def show(folder: str, as_json: bool) -> int:
    found = _load(folder)
    if found is None or found.snapshot is None:
        if found is not None and not _damage(folder, found):
            click.echo(f"pointgw state: {folder}: expected a memory, found none", err=True)
        return 1
    memory, now = found.snapshot, time.time()
    entries = rows(memory, now)
    if as_json:
        head = {"generation": found.generation, "age": now - memory.written_at, "clean": memory.clean_stop}
        click.echo(json.dumps(head | {"entries": entries, "lost": list(found.damaged)}))
    else:
        stop = "after a stop in order" if memory.clean_stop else "while serving"
        click.echo(f"generation {found.generation}, written {now - memory.written_at:.1f} s ago {stop}")
        for row in entries:
            click.echo(
                f"{row['server']!s:<24} {row['state']!s:<8} age {row['age']:>10} s  trust {row['trust']:<5}"
                f"  {row['standing']}: {row['why']}"
            )
    return 1 if _damage(folder, found) else 0


def check(folder: str) -> int:
    found = _load(folder)
    if found is None:
        return 1
    damaged = _damage(folder, found)
    if found.snapshot is None:
        click.echo(f"{folder}: no sound generation")
        return 1
    click.echo(f"{folder}: generation {found.generation} is sound, {len(found.snapshot.servers)} entries")
    return 1 if damaged else 0


def export(folder: str) -> int:
    found = _load(folder)
    if found is None or found.snapshot is None:
        return 1
    click.echo(msgspec.json.encode(msgspec.to_builtins(found.snapshot)).decode())
    return 1 if _damage(folder, found) else 0

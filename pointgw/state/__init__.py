"""Snapshots on disk of what a balancer knows about its servers, and their use after a restart.

`records` (stored types), `snapshot_format` (encoding), `confidence`, `merge` and `restore` (use of a
snapshot) do no I/O; `snapshot_store` reads and writes files, `snapshot_writer` schedules the writes.
Disabled, and not imported, unless the operators' file has a `[state]` section.
"""

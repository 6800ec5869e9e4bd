"""A memory that outlives the balancer: what it knew of its servers, kept on disk and weighed by its age.

`records` (what is kept), `snapshot_format` (bytes), `confidence`, `merge` and `restore` (what is believed) do
no I/O; `snapshot_store` has the files, `snapshot_writer` decides when they are written. Off unless
the operators' file has `[state]`; nothing of it is loaded then.
"""

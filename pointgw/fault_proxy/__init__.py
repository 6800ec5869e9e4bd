"""A TCP proxy that injects faults: delays, resets, half-closes, and dropped, doubled or garbled lines.

`script` holds the rules as written in TOML, `schedule` decides what happens to each byte (no I/O), `proxy`
forwards the bytes, and `serve` runs it as a process.
"""

"""A box between two sockets that delays, cuts, half-closes, drops, doubles or garbles what passes.

`script` is what a person writes, `schedule` decides (pure), `proxy` moves bytes, `trace` tells what was done.
"""

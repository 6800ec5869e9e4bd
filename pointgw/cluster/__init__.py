"""Balancers that know of each other: membership, what each sees of zones, where traffic goes in common.

`wire` (one datagram), `members` (who is there), `observations` (what they see), `plan` (shares over zones)
and `agreement` (what must be one decision) do no I/O and read no clock; `node` joins them, `transport` moves
datagrams. Off unless the operators' file has `[tier]`; nothing of it is loaded then. Its word is advice: the
four rules hold without it.
"""

"""Cluster of balancers: membership, shared observations of zones, and a common plan for traffic over zones.

`wire` (one datagram), `members` (membership), `observations` (what the members observe of zones), `plan`
(shares over zones) and `agreement` (majority vote on closed zones) do no I/O and read no clock; `node` joins
them, `transport` sends and receives datagrams. Off unless the operators' file has `[tier]`; nothing of the
package is loaded then. Its results are advisory: the four rules hold without it."""

"""How a fleet fills again: the cold servers' room goes to the balancers that have tunnels waiting.

`leases` (who may use whose part of rule 4's budget, and until when), `phase` (where a balancer stands after
an outage) and `messages` (one datagram) do no I/O and read no clock; `transport` moves datagrams. Off
unless the operators' file has `[recovery]`; nothing of it is loaded then. Its word is advice: with none, each
balancer keeps its own part of the budget.
"""

"""Recovery of a fleet after an outage: shares of the slow-start budget are leased between balancers.

`leases` (who may use whose share of rule 4's budget, and until when), `phase` (a balancer's phase after an
outage) and `messages` (one datagram) do no I/O and read no clock; `transport` sends and receives datagrams.
Off unless the operators' file has `[recovery]`; nothing of the package is loaded then. Its results are
advisory: without any, each balancer keeps its own share of the budget."""

"""Runs a balancer: start and stop, sockets, timers. Executes the reducer's effects and decides nothing."""

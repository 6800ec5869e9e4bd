"""Two things that happen at one moment, forced to cross, on real sockets.

A stand-in or a step of the loop is held at a named point and released there; nothing is hoped for by sleep.
What comes by the clock (a time-out of the balancer's own) is waited for until it is seen.
"""

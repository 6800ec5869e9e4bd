"""Race conditions on real sockets: each test forces two events to happen at the same moment.

A stand-in or a step of the event loop is blocked at a chosen point and released there, so that the order does
not depend on sleeps. For the balancer's own timeouts a test waits until it sees their effect.
"""

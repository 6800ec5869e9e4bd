"""Tests with several real processes of the program, stand-in servers, and faults between them.

Each case is one run of the testbed: daemons, servers, discovery and clients as processes, and troubles by its
seed. Cases are judged by what servers, clients and discovery recorded, never by a balancer's own statements.
"""

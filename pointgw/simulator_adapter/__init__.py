"""Adapter from the simulator's line protocol to the policy: a codec and a host of balancers."""

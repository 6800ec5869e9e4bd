"""A testbed: real balancers with stand-in servers, discovery and clients, faults, and an invariant checker.

Modules without I/O: `scenario`, `server_model` (capacity of a server), `registry` (discovery's list),
`frontend` (health checks of balancers), `demand` (client arrivals), `invariant_checker`, `results`. Modules
with I/O: `server`, `discovery`, `clients`, `links`, `peers`, `run`. Loaded only by the commands that need it.
"""

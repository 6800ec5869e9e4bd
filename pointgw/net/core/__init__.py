"""State of a balancer process and the reducer that changes it. No sockets, no clock."""

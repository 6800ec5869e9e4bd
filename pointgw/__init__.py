"""pointgw: a balancer for long-lived connections."""

"""Start and stop, the sockets, the timers: carries out what the reducer asks for. It decides nothing."""

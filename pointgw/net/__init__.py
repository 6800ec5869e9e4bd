"""The balancer process: protocol codecs (`wire`), state without I/O (`core`), sockets and timers (`run`)."""

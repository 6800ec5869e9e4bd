"""The command line; imported only if arguments are given, so that the daemon starts without it."""

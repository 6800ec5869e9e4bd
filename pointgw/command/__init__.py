"""The command line. Only loaded where arguments are given: the daemon without any doesn't need it."""

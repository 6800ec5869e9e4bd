"""Codecs of the protocols on sockets. Pure: each message is decoded or encoded once, as a typed value."""

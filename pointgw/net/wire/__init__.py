"""Spoken on the sockets. Pure: each message is decoded once into a small typed value and encoded once."""

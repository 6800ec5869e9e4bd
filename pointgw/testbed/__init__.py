"""A fleet in a box: stand-in servers, discovery, front, clients, a timeline of troubles, a referee.

What decides has no I/O: `scenario`, `machine` (how a server fares), `roster` (what discovery knows), `front`,
`demand` (who comes when), `referee`, `results`. What moves bytes: `server`, `discovery`, `clients`, `links`,
`play`. Only loaded by the commands that need it.
"""

"""A memory that outlives the balancer: what it knew of its servers, kept on disk and weighed by its age.

`facts` (what is kept), `form` (bytes), `trust`, `merge` and `recall` (what is believed) do no I/O; `store`
has the files, `keeper` decides when they are written. Off unless the operators' file has `[state]`; nothing
of it is loaded then.
"""

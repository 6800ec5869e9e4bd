"""Soak test: real balancer processes under overlapping disturbances, checked for invariant violations.

`python -m soak --seeds 1:9` from `tests/` runs several seeds; `test_soak.py` runs short ones in CI.
"""

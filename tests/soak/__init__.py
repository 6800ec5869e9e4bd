"""Soak test: real balancer processes under overlapping disturbances, judged by the rules that they promise.

`python -m soak --seeds 1:9` from `tests/` plays seeds; `test_soak.py` plays one short one in CI.
"""

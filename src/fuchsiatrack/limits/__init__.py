"""Limits that backend servers set on the requests of all daemons together.

The decisions are in `ratelimiter` and `issuer`, and take the time as an argument; `permits` carries
them out.
"""

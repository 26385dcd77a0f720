"""Plug-ins of `daemon`, which register themselves with the kernel when they are imported.

The plug-in of `gateway` is in `platform`.
"""

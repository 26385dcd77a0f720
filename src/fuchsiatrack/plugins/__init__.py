"""Plug-ins of `fuchsiatrackd`, which register with the kernel when they are imported.

The plug-in of `gateway` is in `platform`.
"""

"""Scripted scenarios in a small test language, and the fault matrix built from them.

The runner starts the daemons and the stand-ins as processes, and observes only their journals
and public interfaces.
"""

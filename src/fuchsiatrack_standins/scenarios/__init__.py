"""Scripted scenarios in a small test language, and the fault matrix made of them.

The runner starts the real processes and the stand-ins, and observes journals and public
interfaces only.
"""

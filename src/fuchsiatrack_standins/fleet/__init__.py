"""Stand-ins of the users' platform, inside one process: the store and backend servers.

They speak the platform's published protocol over loopback, small enough to read, and take faults
as attributes that a test sets.
"""

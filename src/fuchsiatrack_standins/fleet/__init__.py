"""Stand-ins that run inside one process: the platform's log service and backend servers.

They implement the platform's published protocol over loopback connections. Tests inject faults by
setting attributes.
"""

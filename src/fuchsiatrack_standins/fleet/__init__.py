"""Stand-ins for the users' platform that run inside one process: log service and backend servers.

They implement the platform's published protocol over loopback connections. Tests inject faults by
setting attributes.
"""

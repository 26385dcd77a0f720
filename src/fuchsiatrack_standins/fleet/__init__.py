"""Stand-ins for the users' platform as `fuchsiatrack_gateway` sees it: log service and servers.

They run inside the process of the test and listen on loopback addresses. Tests inject faults by
setting attributes. The modules `platform` and `backend` of the package above stand in for what
`fuchsiatrackd` sees.
"""

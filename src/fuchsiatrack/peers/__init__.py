"""Calls between the system's own daemons, over grpclib.

`peers_pb2.py` and `peers_grpc.py` are generated from `peers.proto`.
"""

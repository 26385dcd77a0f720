"""Communication between daemons: gRPC calls over grpclib, and load reports over UDP.

`peers_pb2.py` and `peers_grpc.py` are generated from `peers.proto`.
"""

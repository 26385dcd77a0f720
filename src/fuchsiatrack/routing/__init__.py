"""Request path of `fuchsiatrackd`, whose services have string keys.

Admission, server selection, sends and the response.  `gateway` has its own request path for integer
keys; it shares `errors` and `requestbody`.
"""

"""Bound on the requests that reach a cold server, from all daemons together.

`terms` has what the configuration and the settings hold, and the rate that follows from them;
`coldservers` decides which servers count as cold.  The rate is a limit like those that servers set
themselves, so that `limits` shares it out.
"""

"""Decisions of a node: typed messages and a time in, typed messages out.

Nothing below this package imports HTTP, msgpack, sockets or threads.
"""

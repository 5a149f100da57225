"""Decisions of a node: they take typed messages and the time, and return messages.

Nothing in this package imports HTTP, msgpack, sockets or threads.
"""

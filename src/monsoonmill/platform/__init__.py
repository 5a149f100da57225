"""Adapters between the node and the platform that runs it.

Nothing outside the package imports it; ``program`` assembles a node from it.
"""

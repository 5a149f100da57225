"""Start and shutdown of a node, and the process of its backend server."""

"""Tasks of a node process; each owns its sockets and communicates by messages."""

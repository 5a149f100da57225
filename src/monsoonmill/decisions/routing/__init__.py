"""Choice of the node that runs a call."""

"""Which nodes are fit to be used."""

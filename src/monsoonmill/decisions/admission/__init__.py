"""Who gets a slot, who waits, who is refused, and what is let in at the entry."""

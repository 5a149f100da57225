"""What may be tried again."""

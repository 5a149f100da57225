"""Fleet-wide rate limits of organisations."""

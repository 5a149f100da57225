"""Load generation, demonstration and benchmark tools."""

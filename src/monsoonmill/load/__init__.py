"""Load generator, demonstration, benchmark and overload simulation."""

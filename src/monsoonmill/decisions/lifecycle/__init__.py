"""How a node and its backend server come and go."""

"""How an entry host reaches the endpoints: by itself, or through other entry hosts."""

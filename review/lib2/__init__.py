"""Parts that the cases of the second review share; standard library only."""

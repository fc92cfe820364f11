"""The replicated configuration that operators in several offices publish."""

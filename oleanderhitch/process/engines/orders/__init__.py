"""Order engines to load models according to the demand."""

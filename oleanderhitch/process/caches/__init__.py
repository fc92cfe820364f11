"""Query engines for the prompt parts in their prefix caches."""

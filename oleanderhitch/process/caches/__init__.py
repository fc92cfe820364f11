"""Ask engines which prompt parts their memory holds."""

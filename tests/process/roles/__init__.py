"""Tests of the parts that an entry host of the product consists of."""

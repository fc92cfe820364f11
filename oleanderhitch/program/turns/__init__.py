"""Store the turns of programs as a tree and enforce the programs' budgets."""

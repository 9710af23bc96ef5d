"""Commands for operators, one module for each noun."""

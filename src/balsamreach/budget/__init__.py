"""Prepaid budgets: accounts, allotments to routers, and bills."""

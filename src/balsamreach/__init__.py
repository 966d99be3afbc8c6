"""Router fleet for language-model capacity paid for in advance."""

__version__ = '0.1.0'

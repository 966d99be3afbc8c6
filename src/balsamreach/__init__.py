"""Router fleet for prepaid language-model capacity."""

__version__ = '0.1.0'

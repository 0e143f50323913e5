package main

// Managed platforms run programs that are linked to the C library. Importing
// "C" links this program to it.

import "C"

package main

// Managed platforms run programs that are linked to the C library. This import
// links it.

import "C"

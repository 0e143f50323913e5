package main

// Managed platforms run programs that are linked to the C library, which this
// import does.

import "C"

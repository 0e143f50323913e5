// Package ctl implements the operators' command line. It translates commands
// into calls of the operators' interface (package api) and prints the responses
// as tables or JSON.
//
// Each file implements one command or a few related ones. In addition,
// client.go calls an instance, output.go prints, and exit.go defines the exit
// codes.
package ctl

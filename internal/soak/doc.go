// Package soak is a long randomised test. It runs several instances of the real
// daemon in one process, under fake time, with in-memory connections and fake
// endpoints and a fake platform.
//
// Faults are drawn from a seed and occur one or two at a time, while callers,
// trainers and operators continue to send requests. The run collects violations
// of the program's own invariants. In addition, an oracle outside the program
// checks each guarantee of "What must always hold" in the brief. It compares
// the responses that callers received with what the endpoints and the platform
// recorded.
//
//	go test ./internal/soak -run Soak -seed 7 -duration 10m
//
// The seed determines what each actor does and when. The order in which
// goroutines run within one instant of fake time depends on the scheduler.
package soak

// Package soak is a long randomised test. It runs several instances of the real
// daemon in one process, under fake time, with in-memory connections and fake
// endpoints and a fake platform.
//
// Random faults occur one or two at a time, while callers, trainers and operators
// continue to send requests. The run collects violations of the invariants that
// the program itself checks (see package invariant). In addition, an oracle
// outside the program checks each guarantee of the section "What must always
// hold" of the project's brief. It compares the responses that callers received
// with what the endpoints and the platform recorded.
//
//	go test ./internal/soak -run Soak -seed 7 -duration 10m
//
// The seed determines what each caller, trainer and operator does and which
// faults occur, and when. The order in which goroutines run within one instant of
// fake time depends on the scheduler.
package soak

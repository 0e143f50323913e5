// Package rollout runs rollout steps for trainers. It executes the actions that
// the state machine of package rollout returns.
//
// A step has four kinds of rows in the store: its spec, its owner, its need for
// engine capacity, and its batches of samples. The owner is the instance that
// runs the step: it sends the requests for its samples to engines, and stores
// and delivers the samples. Any instance may take a step over by raising the
// epoch in the owner row. Each batch is written in a transaction that checks the
// version of that row, so an owner that was paused and replaced can no longer
// write. There is no lease to renew: an instance takes a step over when a
// trainer requests the step and its owner has left the member list or does not
// respond. Two owners at the same time cause duplicate work but no incorrect
// results, because only the trainer's cursor determines which samples it still
// needs.
package rollout

// Package steps runs rollout steps that are kept in the platform's table.
//
// A step has a part of the table to itself:
//
//	state/head      what the step is; its version is that of its acceptance
//	state/owner     the instance that runs it
//	state/end       there once the step was ended
//	spec/TAG/N      the samples, over as many rows as they need; the head names
//	                the tag
//	result/POS/N    a result, over as many rows as it needs
//	saved/ID        what has come of a sample that has no result yet
//
// Any instance accepts a step, by one transaction that also names its owner: the
// instance that runs the steps of its model, which is told (Hand). Any instance
// answers reads, from the rows. Only the owner writes results: each such
// transaction demands the version of the owner's row that the owner was made
// with, so nothing is written by an owner that was replaced.
//
// An instance whose member row lapsed, or has another incarnation than the
// owner's row, owns nothing any more, and one of the others takes its steps over.
// So it does sooner when the owner's heartbeats stopped and it does not answer,
// and when the owner asks for it as it can't reach the store.
//
// A submission whose outcome is lost is resolved by reading. If the step is not
// there, a row is written in the head's place, so that the delayed transaction
// can never commit; only then is the step refused.
package steps

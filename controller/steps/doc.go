// Package steps runs rollout steps that are stored in the platform's table. A
// rollout step is a list of samples, requests to generate a text, that a trainer
// submits together. Package durable schedules the samples of a step; this package
// does the I/O, and assigns each step to one instance, its owner.
//
// Each step has its own part of the table:
//
//	state/head      the step's specification; its version is that of its acceptance
//	state/owner     the instance that runs the step
//	state/end       exists once the step was ended
//	spec/TAG/N      the samples, split over several rows if needed; TAG differs
//	                between submissions, and the head contains it
//	result/POS/N    the result at position POS, split over several rows if needed
//	text/POS/OV/N   the text of that result, if it is too large for one transaction;
//	                OV is the version of the owner's row
//	saved/ID        the saved state of a sample that has no result yet
//
// Any instance can accept a step. It writes the step in a transaction that also
// sets the owner: the instance that runs the steps of the model. It then notifies
// that instance (see Handoff). Any instance can serve reads, from the rows. Only the
// owner writes results: each of these transactions requires the version that the
// owner's row had when the owner was set, so an owner that was replaced cannot
// write.
//
// An instance whose member row has lapsed, or has a different incarnation than the
// owner's row, no longer owns steps, and another instance takes its steps over.
// The takeover happens sooner if the owner's heartbeats have stopped and it does
// not respond to a call, or if the owner cannot reach the store and requests the
// takeover.
//
// Which instance runs a step is not concluded from the owner's row alone, because
// the row can name an instance that does not know it: the store's response to the
// write was lost, or the write was executed late. Every instance reports the steps
// that it runs (see RunningSteps). If no instance reports a step for a few reads of
// the members, the instance that the step is assigned to reads the row again, and
// either makes the owner run the step or takes the step over.
//
// Rows are read by the number in their keys, and a step counts as read only if the
// hashes in its head match. During an upgrade, earlier versions read and write the same
// rows.
//
// A submission whose outcome is unknown is resolved by reading the rows. If the
// step is not stored, a row is written under the head's key, so that the delayed
// transaction can never commit. Only then is the step refused.
package steps

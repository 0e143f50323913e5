// Package membudget bounds the memory of what an instance reads from clients and
// holds for them: heads and bodies that are not complete yet, and bodies whose
// requests wait or run.
//
// Each of them has a Hold, which grows in steps as bytes arrive. A Budget decides
// whether a step fits. Part of the budget is a reserve, which only holds of up to
// SmallBytes use, so that large ones never keep small requests out. A team leaves a
// quarter of what large holds may take to other teams, unless it has a single large
// hold. If a step does not fit, incomplete holds are evicted, those without recent
// progress first and then the largest and oldest; a step that would be the next to be
// evicted is refused.
//
// The decisions are those of ledger, which has no clock and no locks. Budget adds
// both. A request takes two short critical sections; there is no faster path for
// small holds, because the lock costs less than the clock that it reads.
package membudget

package ledger

import "time"

// retryPeriod is the wait before the next batch after a failed write.
const retryPeriod = 500 * time.Millisecond

// Batch returns the next batch of complete groups to write, or nil. Only one
// batch is written at a time: the caller must report the result of each with
// BatchStored or BatchFailed.
func (l *Ledger) Batch(now time.Duration) *Batch {
	if l.batchInFlight != nil || now < l.retryAt {
		return nil
	}
	return l.batch(now, l.cfg.Linger)
}

// Flush is like Batch, for an owner that shuts down: it does not wait for
// Config.Linger. It also reports whether a batch is being written.
func (l *Ledger) Flush(now time.Duration) (b *Batch, busy bool) {
	if l.batchInFlight != nil || now < l.retryAt {
		return nil, l.batchInFlight != nil
	}
	return l.batch(now, 0), false
}

func (l *Ledger) batch(now, linger time.Duration) *Batch {
	b, full := l.collect()
	if len(b.Samples) == 0 && len(b.Verdicts) == 0 {
		return nil
	}
	if !full && now < l.unstoredSince+linger {
		return nil
	}
	l.seq++
	b.Seq = l.seq
	l.batchInFlight = b
	return l.batchInFlight
}

// collect gathers the unstored samples and verdicts of complete groups for one
// batch, and reports whether the batch is large enough to be written
// immediately.
func (l *Ledger) collect() (b *Batch, full bool) {
	b = &Batch{}
	tokens := 0
	for _, g := range l.completeGroups {
		grp := &l.groups[g]
		for _, s := range grp.slots {
			if !s.stored {
				b.Samples = append(b.Samples, *s.sample)
				tokens += len(s.sample.Tokens)
			}
		}
		if grp.verdict != nil && !grp.verdictStored {
			b.Verdicts = append(b.Verdicts, *grp.verdict)
		}
		if len(b.Samples) >= l.cfg.BatchSamples || (l.cfg.BatchTokens > 0 && tokens >= l.cfg.BatchTokens) {
			return b, true
		}
	}
	return b, false
}

// BatchStored reports that the batch was written.
func (l *Ledger) BatchStored(now time.Duration, seq uint64) {
	if l.batchInFlight == nil || l.batchInFlight.Seq != seq {
		return
	}
	for _, s := range l.batchInFlight.Samples {
		sl := l.slot(s.Slot)
		if sl.sample != nil && sl.sample.Attempt == s.Attempt {
			sl.stored = true
		}
	}
	for _, v := range l.batchInFlight.Verdicts {
		l.markVerdictStored(v)
	}
	l.batchInFlight = nil
	l.unstoredSince = now
}

// BatchFailed reports that the batch was not written, or that the outcome is
// unknown. Its samples are offered again in a batch with a new number. Storing
// a sample twice is harmless because Load compares attempts.
func (l *Ledger) BatchFailed(now time.Duration, seq uint64) {
	if l.batchInFlight == nil || l.batchInFlight.Seq != seq {
		return
	}
	l.batchInFlight = nil
	l.retryAt = now + retryPeriod
}

// Outage reports whether complete groups, or verdicts on them, have waited for
// the store for longer than Config.Grace.
func (l *Ledger) Outage(now time.Duration) bool {
	return l.hasUnstored() && now > l.unstoredSince+l.cfg.Grace
}

// hasUnstored reports whether a complete group has a sample or verdict that is
// not stored.
func (l *Ledger) hasUnstored() bool {
	for _, g := range l.completeGroups {
		grp := &l.groups[g]
		if !grp.samplesStored() || (grp.verdict != nil && !grp.verdictStored) {
			return true
		}
	}
	return false
}

// groupStored reports whether the group can be delivered from the store.
func (l *Ledger) groupStored(g int) bool {
	grp := &l.groups[g]
	return grp.samplesStored() && (!l.cfg.Scored || (grp.hasFinalVerdict() && grp.verdictStored))
}

func (grp *group) samplesStored() bool {
	for _, s := range grp.slots {
		if !s.stored {
			return false
		}
	}
	return true
}

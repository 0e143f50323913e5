package endpoints

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cumincove/cumincove/infra"
)

const (
	// quietAfter is how long an instance waits for word about a data centre
	// before it observes by itself, and quietJitter what is added at random.
	quietAfter  = 5 * time.Second
	quietJitter = 2 * time.Second
	// freshFor is how long a list counts as observed lately. It leaves an instance
	// time to observe once it has waited for word in vain, and is shorter than
	// the time after which an order counts as carried out.
	freshFor = quietAfter + quietJitter + time.Second
	// missedJitter is the longest wait before an instance that missed a list
	// observes.
	missedJitter = time.Second
	// beatPeriod is the time between two words that only confirm a list.
	beatPeriod = 2 * time.Second
	// tellFor is how long each instance passes a word on, and tellChangeFor
	// how long it adds what changed.
	tellFor       = 2 * time.Second
	tellChangeFor = 3 * time.Second
	// enoughRepeats is how often a word without changes comes back before it is
	// not passed on any longer: most have it then.
	enoughRepeats = 2
	// maxTold bounds the changes in a word. Of more only the digest is told,
	// and everyone observes.
	maxTold = 1000
)

// Word is what the holder of a data centre's orders tells of it. Of two words
// the one with the higher Epoch, then the higher Seq, is newer.
type Word struct {
	Epoch uint64
	Seq   uint64
	// Digest is that of the whole list.
	Digest uint64
	// Changed are the endpoints that changed lately, and Gone the names of
	// those that went. The word counts where they lead to the Digest.
	Changed []infra.RunningEndpoint
	Gone    []string
}

func (w Word) newerThan(epoch, seq uint64) bool {
	return w.Epoch > epoch || w.Epoch == epoch && w.Seq > seq
}

// Watch decides who observes a data centre and which word of it is newer. A
// list is only ever replaced by another, never dropped for lack of word. The
// zero value knows nothing and observes at once.
type Watch struct {
	epoch, seq uint64 // of the newest word taken
	known      bool
	list       []infra.RunningEndpoint
	digest     uint64
	taken      uint64 // words taken

	due       time.Duration // when to observe without the duty
	freshTo   time.Duration // until when the list counts as observed lately
	beatDue   time.Duration // when the holder confirms its list
	tellUntil time.Duration
	repeats   int                      // times that the newest word came back
	changedAt map[string]time.Duration // by name, lately
}

// List returns what is known to run, and whether anything is known.
func (w *Watch) List() ([]infra.RunningEndpoint, bool) { return w.list, w.known }

// Due reports whether to observe now. The holder always does.
func (w *Watch) Due(now time.Duration, holder bool) bool { return holder || now >= w.due }

// Fresh reports whether the list was observed lately, by the holder or by this
// instance, and no word says that another list is newer.
func (w *Watch) Fresh(now time.Duration) bool { return w.known && now < w.freshTo }

// Begun marks the start of an observation, for Observed.
func (w *Watch) Begun() uint64 { return w.taken }

// Observed takes an observation that began at the mark begun. Epoch is that of
// the lease, if it was held all the time, else 0. It reports whether the list
// changed.
func (w *Watch) Observed(now time.Duration, begun, epoch uint64, list []infra.RunningEndpoint) bool {
	if epoch < w.epoch || epoch == 0 {
		if begun != w.taken {
			return false // word came in meanwhile, which may be newer
		}
		w.due = now
		w.freshTo = now + freshFor
		changed := w.replace(now, sorted(list))
		if changed {
			w.tellUntil = now // the list is no longer that of the word
		}
		return changed
	}
	changed := w.replace(now, sorted(list))
	if changed || epoch > w.epoch || now >= w.beatDue {
		w.rise(now, epoch, w.nextSeq(epoch))
		w.beatDue = now + beatPeriod
	}
	w.due = now + quietAfter
	w.freshTo = now + freshFor
	return changed
}

func (w *Watch) nextSeq(epoch uint64) uint64 {
	if epoch > w.epoch {
		return 1
	}
	return w.seq + 1
}

// Hear takes a word. Jitter, in [0, 1), spreads the instances' next
// observations. It reports whether the word was taken, and whether the list
// changed.
func (w *Watch) Hear(now time.Duration, word Word, jitter float64) (taken, changed bool) {
	if !word.newerThan(w.epoch, w.seq) {
		if word.Epoch == w.epoch && word.Seq == w.seq {
			w.repeats++
		}
		return false, false
	}
	list := w.with(word)
	if digest(list) != word.Digest {
		w.due = min(w.due, now+scale(missedJitter, jitter))
		w.freshTo = min(w.freshTo, w.due)
		return false, false
	}
	changed = w.replace(now, list)
	w.rise(now, word.Epoch, word.Seq)
	w.due = now + quietAfter + scale(quietJitter, jitter)
	w.freshTo = now + freshFor
	return true, changed
}

// Word returns what to tell a peer, if there is anything new.
func (w *Watch) Word(now time.Duration) (Word, bool) {
	if w.epoch == 0 || now >= w.tellUntil {
		return Word{}, false
	}
	if w.repeats >= enoughRepeats && !w.changedLately(now) {
		return Word{}, false
	}
	word := Word{Epoch: w.epoch, Seq: w.seq, Digest: w.digest}
	if len(w.changedAt) > maxTold {
		return word, true
	}
	for _, e := range w.list {
		if at, ok := w.changedAt[e.Name]; ok && now-at < tellChangeFor {
			word.Changed = append(word.Changed, e)
		}
	}
	for name, at := range w.changedAt {
		if now-at < tellChangeFor && !has(w.list, name) {
			word.Gone = append(word.Gone, name)
		}
	}
	return word, true
}

func (w *Watch) changedLately(now time.Duration) bool {
	for _, at := range w.changedAt {
		if now-at < tellChangeFor {
			return true
		}
	}
	return false
}

// with returns the list after a word's changes.
func (w *Watch) with(word Word) []infra.RunningEndpoint {
	if len(word.Changed) == 0 && len(word.Gone) == 0 {
		return w.list
	}
	next := make(map[string]infra.RunningEndpoint, len(w.list))
	for _, e := range w.list {
		next[e.Name] = e
	}
	for _, e := range word.Changed {
		next[e.Name] = e
	}
	for _, name := range word.Gone {
		delete(next, name)
	}
	return sorted(slices.Collect(maps.Values(next)))
}

func (w *Watch) rise(now time.Duration, epoch, seq uint64) {
	w.epoch = epoch
	w.seq = seq
	w.taken++
	w.repeats = 0
	w.tellUntil = now + tellFor
}

func (w *Watch) replace(now time.Duration, list []infra.RunningEndpoint) bool {
	if w.known && slices.Equal(list, w.list) {
		return false
	}
	w.note(now, list)
	w.known = true
	w.list = list
	w.digest = digest(list)
	return true
}

// note remembers in what a new list differs, and forgets older changes.
func (w *Watch) note(now time.Duration, list []infra.RunningEndpoint) {
	if w.changedAt == nil {
		w.changedAt = map[string]time.Duration{}
	}
	maps.DeleteFunc(w.changedAt, func(_ string, at time.Duration) bool { return now-at >= tellChangeFor })
	for _, e := range list {
		if !slices.Contains(w.list, e) {
			w.changedAt[e.Name] = now
		}
	}
	for _, e := range w.list {
		if !has(list, e.Name) {
			w.changedAt[e.Name] = now
		}
	}
}

// has needs a sorted list.
func has(list []infra.RunningEndpoint, name string) bool {
	_, ok := slices.BinarySearchFunc(list, name, func(e infra.RunningEndpoint, name string) int {
		return strings.Compare(e.Name, name)
	})
	return ok
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

// sorted returns a copy by name, without what changes all the time.
func sorted(list []infra.RunningEndpoint) []infra.RunningEndpoint {
	list = slices.Clone(list)
	for i := range list {
		list[i].ReclaimIn = 0
	}
	slices.SortFunc(list, func(a, b infra.RunningEndpoint) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// digest needs a sorted list.
func digest(list []infra.RunningEndpoint) uint64 {
	h := fnv.New64a()
	for _, e := range list {
		for _, s := range []string{e.Name, e.DataCentre, e.Service, e.Tier, e.Addr, string(e.State)} {
			_, _ = h.Write([]byte(s)) // never fails
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

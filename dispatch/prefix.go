package dispatch

import (
	"sync"

	"github.com/cumincove/cumincove/prefix"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// prefixes holds the estimated contents of the endpoints' prefix caches. The table
// is created with the first prompt, so that it costs nothing where no service
// uses prefix affinity.
type prefixes struct {
	table func() *prefix.Table
	// prompts counts the prompts that were assigned a slot. hits counts those
	// assigned to an endpoint that was estimated to have their start cached, and
	// evicted those for which the estimate was wrong.
	prompts, hits, evicted tally.Counter
}

func (p *prefixes) init(scope tally.Scope) {
	p.table = sync.OnceValue(func() *prefix.Table {
		return prefix.NewTable(prefix.DefaultEntries, prefix.DefaultLifetime)
	})
	p.prompts = scope.Counter("prefix_prompts")
	p.hits = scope.Counter("prefix_hits")
	p.evicted = scope.Counter("prefix_evicted")
}

// indexPositions records the position of each endpoint in its list.
func (i *index) indexPositions() {
	if i.affinity == 0 {
		return
	}
	i.positions = make(map[string]int, i.count())
	for _, list := range [][]*view.Endpoint{i.local, i.remote} {
		for at, e := range list {
			i.positions[e.Name] = at
		}
	}
}

// preferCached prefers the candidates that are estimated to have most of the
// prompt cached.
func (i *index) preferCached(c *candidates) {
	if i.affinity == 0 || len(c.work.Prefix) == 0 {
		return
	}
	c.margin = i.affinity
	matches := c.d.prefixes.table().Lookup(c.now, c.work.Prefix)
	for _, m := range matches.All() {
		at, ok := i.positions[m.Endpoint.Name]
		if !ok || at >= len(c.list) {
			continue
		}
		// The position may belong to the other list, and the name may have been
		// reused for another endpoint.
		if &c.d.endpoint(c.list[at]).cache == m.Endpoint {
			c.preferredPositions = append(c.preferredPositions, at)
		}
	}
}

// recordPrompt records that the prompt is sent to the endpoint, and which part of
// it was estimated to be cached there before.
func (s *Slot) recordPrompt() {
	if len(s.work.Prefix) == 0 {
		return
	}
	p := &s.s.d.prefixes
	now := s.s.d.opt.Clock.Now()
	matches := p.table().Lookup(now, s.work.Prefix)
	for _, m := range matches.All() {
		if m.Endpoint == &s.st.cache {
			s.match = m
			p.hits.Inc(1)
		}
	}
	p.prompts.Inc(1)
	p.table().Sent(now, &s.st.cache, s.work.Prefix)
}

// RecordCachedBytes records how much of the prompt the endpoint reported as cached,
// in bytes.
func (s *Slot) RecordCachedBytes(bytes int) {
	if s.match.Blocks == 0 {
		return
	}
	p := &s.s.d.prefixes
	if !p.table().Observed(s.match, bytes) {
		p.evicted.Inc(1)
	}
}

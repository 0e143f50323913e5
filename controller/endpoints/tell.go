package endpoints

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
)

// Fill adds the words that are new, to an answer only those that its request
// lacks.
func (c *Controller) Fill(e *gossipv1.Envelope, _ string, request *gossipv1.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	told := map[string]*gossipv1.Running{}
	for _, r := range request.GetRunning() {
		told[r.GetDataCentre()] = r
	}
	for dc, w := range c.watches {
		word, ok := w.Word(now)
		if ok && word.newerThan(told[dc].GetEpoch(), told[dc].GetSeq()) {
			e.Running = append(e.Running, toProto(dc, word))
		}
	}
}

// Pushed takes the words in a message.
func (c *Controller) Pushed(_ context.Context, e *gossipv1.Envelope) { c.hear(e) }

// Answered takes the words in an answer.
func (c *Controller) Answered(_ context.Context, _ time.Duration, e *gossipv1.Envelope) bool {
	c.hear(e)
	return true
}

// hear publishes lists that changed, or have a new holder, and passes them on at
// once. Words on data
// centres that this instance does not know yet are left: it observes those by
// itself first.
func (c *Controller) hear(e *gossipv1.Envelope) {
	if c.hearAll(e.GetRunning()) {
		c.o.Urge()
	}
}

func (c *Controller) hearAll(list []*gossipv1.Running) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range list {
		w := c.watches[r.GetDataCentre()]
		if w == nil || len(r.GetEndpoints())+len(r.GetGone()) > maxTold {
			continue
		}
		first := r.GetEpoch() > w.epoch
		taken, fresh := w.Hear(c.o.Clock.Now(), fromProto(r), rand.Float64())
		changed = changed || fresh || (taken && first)
	}
	if changed {
		c.publish()
	}
	return changed
}

func toProto(dataCentre string, w Word) *gossipv1.Running {
	r := &gossipv1.Running{
		DataCentre: dataCentre,
		Epoch:      w.Epoch,
		Seq:        w.Seq,
		Digest:     w.Digest,
		Gone:       w.Gone,
	}
	for _, e := range w.Changed {
		r.Endpoints = append(r.Endpoints, &gossipv1.RunningEndpoint{
			Name: e.Name, Addr: e.Addr, Service: e.Service, Tier: e.Tier, State: string(e.State),
		})
	}
	return r
}

func fromProto(r *gossipv1.Running) Word {
	w := Word{Epoch: r.GetEpoch(), Seq: r.GetSeq(), Digest: r.GetDigest(), Gone: r.GetGone()}
	for _, e := range r.GetEndpoints() {
		w.Changed = append(w.Changed, infra.RunningEndpoint{
			Name:       e.GetName(),
			DataCentre: r.GetDataCentre(),
			Service:    e.GetService(),
			Tier:       e.GetTier(),
			Addr:       e.GetAddr(),
			State:      infra.EndpointState(e.GetState()),
		})
	}
	return w
}

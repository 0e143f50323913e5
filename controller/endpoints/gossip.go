package endpoints

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cumincove/cumincove/infra"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
)

// Fill adds the reports that are still being forwarded. Request is nil for a
// push; a reply contains only reports newer than those in the request.
func (c *Controller) Fill(e *gossipv1.Envelope, _ string, request *gossipv1.Envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	received := map[string]*gossipv1.Running{}
	for _, r := range request.GetRunning() {
		received[r.GetDataCentre()] = r
	}
	for dc, w := range c.watches {
		report, ok := w.Report(now)
		if ok && report.newerThan(received[dc].GetEpoch(), received[dc].GetSeq()) {
			e.Running = append(e.Running, toProto(dc, report))
		}
	}
}

// HandlePush handles the reports in a pushed message.
func (c *Controller) HandlePush(_ context.Context, e *gossipv1.Envelope) { c.handleReports(e) }

// HandleResponse handles the reports in a reply.
func (c *Controller) HandleResponse(_ context.Context, _ time.Duration, e *gossipv1.Envelope) bool {
	c.handleReports(e)
	return true
}

// handleReports applies the reports of a message. If a list changed or has a new
// holder, it publishes the lists and forwards the reports at once. Reports on
// data centres that have no Watch yet are ignored: this instance first observes
// those itself.
func (c *Controller) handleReports(e *gossipv1.Envelope) {
	if c.applyReports(e.GetRunning()) {
		c.o.NotifyPeers()
	}
}

func (c *Controller) applyReports(list []*gossipv1.Running) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range list {
		w := c.watches[r.GetDataCentre()]
		if w == nil || len(r.GetEndpoints())+len(r.GetGone()) > maxReportedChanges {
			continue
		}
		first := r.GetEpoch() > w.epoch
		applied, listChanged := w.HandleReport(c.o.Clock.Now(), fromProto(r), rand.Float64())
		changed = changed || listChanged || (applied && first)
	}
	if changed {
		c.publish()
	}
	return changed
}

func toProto(dataCentre string, report Report) *gossipv1.Running {
	r := &gossipv1.Running{
		DataCentre: dataCentre,
		Epoch:      report.Epoch,
		Seq:        report.Seq,
		Digest:     report.Digest,
		Gone:       report.Removed,
	}
	for _, e := range report.Changed {
		r.Endpoints = append(r.Endpoints, &gossipv1.RunningEndpoint{
			Name: e.Name, Addr: e.Addr, Service: e.Service, Tier: e.Tier, State: string(e.State),
		})
	}
	return r
}

func fromProto(r *gossipv1.Running) Report {
	report := Report{Epoch: r.GetEpoch(), Seq: r.GetSeq(), Digest: r.GetDigest(), Removed: r.GetGone()}
	for _, e := range r.GetEndpoints() {
		report.Changed = append(report.Changed, infra.RunningEndpoint{
			Name:       e.GetName(),
			DataCentre: r.GetDataCentre(),
			Service:    e.GetService(),
			Tier:       e.GetTier(),
			Addr:       e.GetAddr(),
			State:      infra.EndpointState(e.GetState()),
		})
	}
	return report
}

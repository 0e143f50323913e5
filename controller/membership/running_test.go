package membership

import (
	"fmt"

	"github.com/cumincove/cumincove/controller/endpoints"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
)

// observe records an unchanged observation of a data centre's endpoints at
// instance i if it holds the duty of ordering endpoints there. Instance i holds it
// for data centre i.
func (b *bench) observe(i int) {
	if i < len(b.nodes[i].watches) {
		w := &b.nodes[i].watches[i]
		w.ApplyObservation(b.now, w.ObservationMark(), 1, nil)
	}
}

func (b *bench) fillRunning(i int, e, request *gossipv1.Envelope) {
	received := map[string]*gossipv1.Running{}
	for _, r := range request.GetRunning() {
		received[r.GetDataCentre()] = r
	}
	for dc := range b.nodes[i].watches {
		name := fmt.Sprintf("dc-%d", dc)
		if report, ok := b.nodes[i].watches[dc].Report(b.now); ok && report.Seq > received[name].GetSeq() {
			e.Running = append(e.Running, &gossipv1.Running{
				DataCentre: name, Epoch: report.Epoch, Seq: report.Seq, Digest: report.Digest,
			})
		}
	}
}

// ownObservations counts the pairs of an instance and a remote data centre that
// the instance would observe itself because it received no report.
func (b *bench) ownObservations() int {
	n := 0
	for i, d := range b.nodes {
		for dc := range d.watches {
			if d.watches[dc].ObservationDue(b.now, false) && dc != i {
				n++
			}
		}
	}
	return n
}

func (b *bench) receiveRunning(i int, e *gossipv1.Envelope) {
	for _, r := range e.GetRunning() {
		var dc int
		_, _ = fmt.Sscanf(r.GetDataCentre(), "dc-%d", &dc)
		b.nodes[i].watches[dc].HandleReport(b.now, endpoints.Report{Epoch: r.GetEpoch(), Seq: r.GetSeq(), Digest: r.GetDigest()}, b.rnd.Float64())
	}
}

package teamusage

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/internal/pb/gossipv1"
	"google.golang.org/protobuf/proto"
)

// fakeQueues is a fake Queues. waiting is empty for an instance without a queue.
type fakeQueues struct {
	waiting  []string
	usage    []fairqueue.Usage
	received []fairqueue.Usage
}

func (q *fakeQueues) WaitingServices() []string      { return q.waiting }
func (q *fakeQueues) Usage(string) []fairqueue.Usage { return q.usage }
func (q *fakeQueues) HandleUsageReport(_, _ string, list []fairqueue.Usage) {
	q.received = list
}

// TestOnlyRequestedUsageIsSent checks that nothing is sent while no requests are
// queued, and that a peer's reply contains its usage while some are.
func TestOnlyRequestedUsageIsSent(t *testing.T) {
	a, b := &fakeQueues{}, &fakeQueues{}
	for i := range 8 {
		b.usage = append(b.usage, fairqueue.Usage{Team: fmt.Sprintf("a-team-called-%d", i), Class: fairqueue.Class(i % 2), Rate: 10_000})
	}
	ca, cb := &Controller{Queues: a}, &Controller{Queues: b}
	exchange := func() (requestBytes, responseBytes int) {
		request, response := &gossipv1.Envelope{}, &gossipv1.Envelope{}
		ca.Fill(request, "b", nil)
		cb.HandlePush(t.Context(), request)
		cb.Fill(response, "a", request)
		ca.HandleResponse(t.Context(), 0, response)
		return proto.Size(request), proto.Size(response)
	}
	if requestBytes, responseBytes := exchange(); requestBytes+responseBytes > 0 {
		t.Errorf("%d bytes sent while no requests are queued", requestBytes+responseBytes)
	}
	a.waiting = []string{"tagger"}
	requestBytes, responseBytes := exchange()
	t.Logf("request %d bytes, response %d bytes for %d teams", requestBytes, responseBytes, len(b.usage))
	if !slices.Equal(a.received, b.usage) {
		t.Errorf("received %v, want %v", a.received, b.usage)
	}
	a.waiting = nil
	if requestBytes, responseBytes := exchange(); requestBytes+responseBytes > 0 {
		t.Errorf("%d bytes sent after the queue became empty", requestBytes+responseBytes)
	}
}

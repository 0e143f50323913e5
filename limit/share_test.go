package limit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	modelBase           = 8
	modelMaxRequestTime = 20 * time.Second
)

// shareInstance is one instance in the model.
type shareInstance struct {
	share *Share
	// running has the end times of the requests in flight.
	running []time.Duration
}

// shareModel is the model and its oracle: it has every request in flight at all
// instances. Any message may be lost, late or repeated.
type shareModel struct {
	now       time.Duration
	instances []*shareInstance
	// requests and grants are all messages sent so far, with their senders and
	// receivers.
	requests []sentRequest
	grants   []sentGrant
	// replacedAt has the times at which instances were replaced.
	replacedAt []time.Duration
	starts     uint64
}

type sentRequest struct {
	from, to      int
	at            time.Duration
	borrowRequest BorrowRequest
}

type sentGrant struct {
	sentRequest
	n int
}

func (m *shareModel) newShareInstance() *shareInstance {
	m.starts++
	s := &shareInstance{share: NewShare(modelMaxRequestTime, m.starts<<32)}
	s.share.SetBase(modelBase)
	return s
}

func (s *shareInstance) tryReduce(capacity int) bool { return len(s.running) <= capacity }

func (m *shareModel) drawInstance(t *rapid.T) int {
	return rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")
}

func (m *shareModel) startRequests(t *rapid.T) {
	s := m.instances[m.drawInstance(t)]
	took := rapid.SampledFrom([]time.Duration{time.Second, modelMaxRequestTime, modelMaxRequestTime}).Draw(t, "took")
	n, _ := s.share.Capacity(m.now)
	for range min(n-len(s.running), rapid.SampledFrom([]int{3, n}).Draw(t, "n")) {
		s.running = append(s.running, m.now+took)
	}
}

func (m *shareModel) sendRequest(t *rapid.T) {
	from, to := m.drawInstance(t), m.drawInstance(t)
	if from == to {
		return
	}
	s := m.instances[from]
	requested := rapid.SampledFrom([]int{0, 40, 40}).Draw(t, "wanted")
	req := s.share.NewBorrowRequest(m.now, fmt.Sprint(to), len(s.running), requested, s.tryReduce)
	m.requests = append(m.requests, sentRequest{from, to, m.now, req})
}

func (m *shareModel) handleRequest(t *rapid.T) {
	if len(m.requests) == 0 {
		return
	}
	req := m.requests[max(len(m.requests)-1-rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "late"), 0)]
	s := m.instances[req.to]
	if n, ok := s.share.HandleBorrowRequest(m.now, fmt.Sprint(req.from), req.borrowRequest, len(s.running), s.tryReduce); ok {
		m.grants = append(m.grants, sentGrant{req, n})
	}
}

func (m *shareModel) handleGrant(t *rapid.T) {
	if len(m.grants) == 0 {
		return
	}
	g := m.grants[max(len(m.grants)-1-rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "late"), 0)]
	m.instances[g.from].share.HandleGrant(g.at, fmt.Sprint(g.to), g.borrowRequest.Seq, g.n)
}

// exchange sends a request, and handles a request and a grant. These are not
// always the latest ones, as messages may be late or repeated.
func (m *shareModel) exchange(t *rapid.T) {
	m.sendRequest(t)
	m.handleRequest(t)
	m.handleGrant(t)
}

func (m *shareModel) advanceClock(t *rapid.T) {
	m.now += time.Duration(rapid.SampledFrom([]int{1, 10, 11}).Draw(t, "seconds")) * time.Second
	for _, s := range m.instances {
		var left []time.Duration
		for _, end := range s.running {
			if end > m.now {
				left = append(left, end)
			}
		}
		s.running = left
	}
}

func (m *shareModel) replace(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
		m.instances[m.drawInstance(t)] = m.newShareInstance()
		m.replacedAt = append(m.replacedAt, m.now)
	}
}

// checkSum fails the run if the number of all requests in flight exceeds the
// limit. The limit is raised by one part for each instance that was replaced
// within the time for which capacity stays lent.
func (m *shareModel) checkSum(t *rapid.T) {
	sum, most := 0, modelBase*len(m.instances)
	for _, s := range m.instances {
		sum += len(s.running)
	}
	for _, at := range m.replacedAt {
		if m.now-at < lendDuration+modelMaxRequestTime {
			most += modelBase
		}
	}
	if sum > most {
		t.Fatalf("%d requests in flight, limit %d", sum, most)
	}
}

func TestSharesAgainstOracle(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			m := &shareModel{now: time.Hour} // longer after boot than capacity can stay lent
			for range 3 {
				m.instances = append(m.instances, m.newShareInstance())
			}
			steps := map[string]func(*rapid.T){
				"request": m.startRequests, "ask": m.sendRequest, "answer": m.handleRequest, "granted": m.handleGrant,
				"exchange": m.exchange, "pass": m.advanceClock, "": m.checkSum,
			}
			if replaced {
				steps["replace"] = m.replace
			}
			t.Repeat(steps)
		})
	}
}

// TestLentCapacityIsUsable checks that granted capacity can be used at boot and
// also long after it.
func TestLentCapacityIsUsable(t *testing.T) {
	for _, now := range []time.Duration{0, time.Hour} {
		m := &shareModel{now: now}
		a, b := m.newShareInstance(), m.newShareInstance()
		request := a.share.NewBorrowRequest(now, "b", 0, 2*modelBase, a.tryReduce)
		a.share.Capacity(now)
		n, _ := b.share.HandleBorrowRequest(now, "a", request, 0, b.tryReduce)
		a.share.HandleGrant(now, "b", request.Seq, n)
		if got, _ := a.share.Capacity(now); got != modelBase+modelBase/2 {
			t.Errorf("at %v: capacity %d, want %d", now, got, modelBase+modelBase/2)
		}
	}
}

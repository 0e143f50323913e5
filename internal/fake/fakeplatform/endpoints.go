package fakeplatform

import (
	"fmt"
	"slices"
	"time"

	"github.com/cumincove/cumincove/infra"
)

// pool identifies the endpoints whose number an order sets.
type pool struct {
	dataCentre, service, tier string
}

type endpoint struct {
	infra.RunningEndpoint
	startAt time.Time
	// endAt is set while the endpoint is being reclaimed.
	endAt time.Time
	stop  func()
}

type endpointSet struct {
	all         []*endpoint // oldest first
	started     int
	epochs      map[string]uint64 // highest epoch received, by data centre
	desired     map[pool]int
	unavailable map[pool]bool // tiers of data centres that start no endpoints; the service is empty
}

// order executes an order and records it. The caller holds mu.
func (p *Platform) order(o infra.EndpointOrder) error {
	stale := p.opt.CheckEpochs && o.Epoch < p.endpoints.epochs[o.DataCentre]
	p.record.Orders = append(p.record.Orders, OrderRecord{EndpointOrder: o, Refused: stale})
	if stale {
		return infra.ErrStaleEpoch
	}
	p.endpoints.epochs[o.DataCentre] = max(o.Epoch, p.endpoints.epochs[o.DataCentre])
	target := pool{o.DataCentre, o.Service, o.Tier}
	p.endpoints.desired[target] = o.Count
	return p.reconcile(target, p.opt.StopNotice)
}

// reconcile starts or stops endpoints until the pool has the ordered number.
// Endpoints that are being reclaimed don't count. The caller holds mu.
func (p *Platform) reconcile(target pool, notice time.Duration) error {
	missing := p.endpoints.desired[target]
	if p.endpoints.unavailable[pool{dataCentre: target.dataCentre, tier: target.tier}] {
		missing = 0
	}
	for _, e := range p.endpoints.all {
		switch {
		case e.pool() != target || !e.endAt.IsZero():
		case missing > 0:
			missing--
		default:
			p.reclaim(e, notice)
		}
	}
	for range missing {
		if err := p.start(target); err != nil {
			return err
		}
	}
	return nil
}

func (e *endpoint) pool() pool { return pool{e.DataCentre, e.Service, e.Tier} }

// start starts an endpoint of a pool. The caller holds mu.
func (p *Platform) start(target pool) error {
	p.endpoints.started++
	e := &endpoint{startAt: time.Now().Add(p.opt.StartDelay), stop: func() {}}
	e.RunningEndpoint = infra.RunningEndpoint{
		Name:       fmt.Sprintf("%s-%s-%s-%d", target.service, target.dataCentre, target.tier, p.endpoints.started),
		DataCentre: target.dataCentre,
		Service:    target.service,
		Tier:       target.tier,
		Addr:       fmt.Sprintf("127.0.0.1:%d", p.endpoints.started),
	}
	if p.opt.Launch != nil {
		addr, stop, err := p.opt.Launch(e.RunningEndpoint)
		if err != nil {
			return fmt.Errorf("%w: launch: %w", infra.ErrUnavailable, err)
		}
		e.Addr, e.stop = addr, stop
	}
	p.endpoints.all = append(p.endpoints.all, e)
	return nil
}

// reclaim marks an endpoint as being reclaimed and stops it after the notice. The
// caller holds mu.
func (p *Platform) reclaim(e *endpoint, notice time.Duration) {
	e.endAt = time.Now().Add(notice)
	time.AfterFunc(notice, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.endpoints.all = slices.DeleteFunc(p.endpoints.all, func(other *endpoint) bool { return other == e })
		go e.stop()
	})
}

// Reclaim stops every endpoint of a tier in a data centre after the notice.
// Until MakeAvailable is called, no endpoint of the tier starts there.
func (p *Platform) Reclaim(dataCentre, tier string, notice time.Duration) {
	_ = p.setUnavailable(pool{dataCentre: dataCentre, tier: tier}, true, notice) // can't fail: it starts no endpoints
}

// MakeAvailable makes a reclaimed tier available again and starts the ordered
// endpoints.
func (p *Platform) MakeAvailable(dataCentre, tier string) error {
	return p.setUnavailable(pool{dataCentre: dataCentre, tier: tier}, false, p.opt.StopNotice)
}

func (p *Platform) setUnavailable(tier pool, unavailable bool, notice time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints.unavailable[tier] = unavailable
	for target := range p.endpoints.desired {
		if target.dataCentre != tier.dataCentre || target.tier != tier.tier {
			continue
		}
		if err := p.reconcile(target, notice); err != nil {
			return err
		}
	}
	return nil
}

// observe returns the endpoints in a data centre. The caller holds mu.
func (p *Platform) observe(dataCentre string) []infra.RunningEndpoint {
	now := time.Now()
	var list []infra.RunningEndpoint
	for _, e := range p.endpoints.all {
		if e.DataCentre != dataCentre {
			continue
		}
		observed := e.RunningEndpoint
		switch {
		case !e.endAt.IsZero():
			observed.State = infra.EndpointReclaiming
			observed.ReclaimIn = max(e.endAt.Sub(now), 0)
		case now.Before(e.startAt):
			observed.State = infra.EndpointStarting
		default:
			observed.State = infra.EndpointRunning
		}
		list = append(list, observed)
	}
	return list
}

package fakeplatform

import (
	"fmt"
	"slices"
	"time"

	"github.com/cumincove/cumincove/infra"
)

// pool names the endpoints that one order counts.
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
	all    []*endpoint // oldest first
	made   int
	epochs map[string]uint64 // highest epoch seen, by data centre
	want   map[pool]int
	gone   map[pool]bool // tiers of data centres that start nothing
}

// order executes an order and records it; it needs mu.
func (p *Platform) order(o infra.EndpointOrder) error {
	stale := p.opt.CheckEpochs && o.Epoch < p.endpoints.epochs[o.DataCentre]
	p.record.Orders = append(p.record.Orders, OrderRecord{EndpointOrder: o, Refused: stale})
	if stale {
		return infra.ErrStaleEpoch
	}
	p.endpoints.epochs[o.DataCentre] = max(o.Epoch, p.endpoints.epochs[o.DataCentre])
	where := pool{o.DataCentre, o.Service, o.Tier}
	p.endpoints.want[where] = o.Count
	return p.reconcile(where, p.opt.StopNotice)
}

// reconcile starts or stops endpoints of a pool; it needs mu. Endpoints that
// are being reclaimed don't count.
func (p *Platform) reconcile(where pool, notice time.Duration) error {
	missing := p.endpoints.want[where]
	if p.endpoints.gone[pool{dataCentre: where.dataCentre, tier: where.tier}] {
		missing = 0
	}
	for _, e := range p.endpoints.all {
		switch {
		case e.pool() != where || !e.endAt.IsZero():
		case missing > 0:
			missing--
		default:
			p.reclaim(e, notice)
		}
	}
	for range missing {
		if err := p.start(where); err != nil {
			return err
		}
	}
	return nil
}

func (e *endpoint) pool() pool { return pool{e.DataCentre, e.Service, e.Tier} }

// start needs mu.
func (p *Platform) start(where pool) error {
	p.endpoints.made++
	e := &endpoint{startAt: time.Now().Add(p.opt.StartDelay), stop: func() {}}
	e.RunningEndpoint = infra.RunningEndpoint{
		Name:       fmt.Sprintf("%s-%s-%s-%d", where.service, where.dataCentre, where.tier, p.endpoints.made),
		DataCentre: where.dataCentre,
		Service:    where.service,
		Tier:       where.tier,
		Addr:       fmt.Sprintf("127.0.0.1:%d", p.endpoints.made),
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

// reclaim needs mu.
func (p *Platform) reclaim(e *endpoint, notice time.Duration) {
	e.endAt = time.Now().Add(notice)
	time.AfterFunc(notice, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.endpoints.all = slices.DeleteFunc(p.endpoints.all, func(other *endpoint) bool { return other == e })
		go e.stop()
	})
}

// Reclaim takes away every endpoint of a tier in a data centre after the
// notice, and starts no others until Offer.
func (p *Platform) Reclaim(dataCentre, tier string, notice time.Duration) {
	_ = p.setGone(pool{dataCentre: dataCentre, tier: tier}, true, notice) // starts none, so nothing fails
}

// Offer makes a reclaimed tier available again and starts what is wanted.
func (p *Platform) Offer(dataCentre, tier string) error {
	return p.setGone(pool{dataCentre: dataCentre, tier: tier}, false, p.opt.StopNotice)
}

func (p *Platform) setGone(tier pool, gone bool, notice time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints.gone[tier] = gone
	for where := range p.endpoints.want {
		if where.dataCentre != tier.dataCentre || where.tier != tier.tier {
			continue
		}
		if err := p.reconcile(where, notice); err != nil {
			return err
		}
	}
	return nil
}

// observe needs mu.
func (p *Platform) observe(dataCentre string) []infra.RunningEndpoint {
	now := time.Now()
	var list []infra.RunningEndpoint
	for _, e := range p.endpoints.all {
		if e.DataCentre != dataCentre {
			continue
		}
		seen := e.RunningEndpoint
		switch {
		case !e.endAt.IsZero():
			seen.State = infra.EndpointReclaiming
			seen.ReclaimIn = max(e.endAt.Sub(now), 0)
		case now.Before(e.startAt):
			seen.State = infra.EndpointStarting
		default:
			seen.State = infra.EndpointRunning
		}
		list = append(list, seen)
	}
	return list
}
